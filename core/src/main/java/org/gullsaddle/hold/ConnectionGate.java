package org.gullsaddle.hold;

/**
 * Decides which new connections a node takes. One that is handed many more of them than
 * usual, as a balancer may do for a while, and is behind with its work turns a part of
 * them away unread: their callers come to other nodes at once, while what is read here
 * and answered too late is lost. A node that is behind for another reason takes all, as
 * the others may be no better off. Confined to one thread.
 */
public final class ConnectionGate {

	/** How late the node's work is for it to be behind, in milliseconds. */
	private static final double BEHIND_MILLIS = 200;

	/** How many times more connections than usual are a surge. */
	private static final double SURGE = 2;

	/** How long a node has to see connections before it knows what is usual. */
	private static final int USUAL_SECONDS = 5;

	private static final long SECOND_MILLIS = 1000;

	/** How much of a second's count is taken into what is usual. */
	private static final double USUAL_SMOOTHING = 0.2;

	/** How much the part that is turned away changes in a second. */
	private static final double STEP = 1;

	/** The most that is turned away: a node that takes nothing looks dead. */
	private static final double MOST = 0.8;

	private long secondAt = Long.MIN_VALUE;

	private int offered;

	private double lastSecond;

	private double usual;

	private int seconds;

	private long lookedAt = Long.MIN_VALUE;

	/** How late the node was on the mean, by time. */
	private double lateMillis;

	private double turnedAway;

	/**
	 * Notes how late the node is with its work. Is to be called some times a second.
	 * @param now the time in milliseconds
	 * @param late how late it is in milliseconds
	 */
	public void look(long now, long late) {
		count(now);
		double seconds = (this.lookedAt == Long.MIN_VALUE) ? 0 : Math.min(1, (now - this.lookedAt) / 1000.0);
		this.lookedAt = now;
		this.lateMillis += seconds * (late - this.lateMillis);
		double step = seconds * ((this.lateMillis > BEHIND_MILLIS && surge()) ? STEP : -STEP);
		this.turnedAway = Math.clamp(this.turnedAway + step, 0, MOST);
	}

	/**
	 * Says whether a new connection is taken.
	 * @param now the time in milliseconds
	 * @param chance a random number from 0 to 1
	 * @return false if it is to be closed unread
	 */
	public boolean takes(long now, double chance) {
		count(now);
		this.offered++;
		return chance >= this.turnedAway;
	}

	/**
	 * Returns the part of new connections that is turned away.
	 * @return 0 for none, below 1
	 */
	public double turnedAway() {
		return this.turnedAway;
	}

	private boolean surge() {
		return this.seconds >= USUAL_SECONDS
				&& Math.max(this.offered, this.lastSecond) > SURGE * Math.max(1, this.usual);
	}

	/**
	 * Begins a new second. What a surge brings does not become usual while it is one.
	 */
	private void count(long now) {
		if (this.secondAt == Long.MIN_VALUE) {
			this.secondAt = now;
		}
		if (now - this.secondAt < SECOND_MILLIS) {
			return;
		}
		double perSecond = (double) this.offered * SECOND_MILLIS / (now - this.secondAt);
		this.lastSecond = perSecond;
		if (this.turnedAway == 0) {
			this.usual = (this.seconds == 0) ? perSecond : this.usual + USUAL_SMOOTHING * (perSecond - this.usual);
		}
		this.seconds++;
		this.offered = 0;
		this.secondAt = now;
	}

}
