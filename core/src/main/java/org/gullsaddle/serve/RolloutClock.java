package org.gullsaddle.serve;

/**
 * Measures the time since a roll-out began, in agreement with all other nodes. Confined
 * to one thread.
 * <p>
 * Nodes learn of an order one after another, and some start while it is under way. The
 * order itself contains no time, but the entry of the first replica of the new release
 * does: all nodes count from that replica's start. The start is a time of day, and this
 * node's clock may be wrong. The start is accepted only if it falls between the last time
 * without the order and now, and is dropped if peers turn out to be far ahead. Without
 * it, a node counts from when it learned of the order, or from the elapsed time that
 * peers report.
 */
final class RolloutClock {

	/** How far this node's time of day may differ from the replicas', in milliseconds. */
	private static final long MAX_CLOCK_ERROR_MILLIS = 500;

	/**
	 * How far peers may be ahead before this node's clock counts as wrong, in
	 * milliseconds.
	 */
	private static final long MAX_BEHIND_PEERS_MILLIS = 1500;

	private final long notBefore;

	/** When the roll-out began, as far as is known without the replicas' starts. */
	private long learnedAt;

	private boolean anchored;

	private boolean clockWrong;

	/** Added to the time of day to get this node's monotonic time, in milliseconds. */
	private long clockOffsetMillis;

	/** The time of day at which the first replica started, in Unix milliseconds. */
	private long firstStartedAt;

	/**
	 * Creates the clock of a roll-out of which this node has just learned.
	 * @param notBefore a time before which it was not ordered
	 * @param now the time
	 */
	RolloutClock(long notBefore, long now) {
		this.notBefore = notBefore;
		this.learnedAt = now;
	}

	/**
	 * Handles the start time of a replica of the new release.
	 * @param timeOfDay this node's time of day, in Unix milliseconds
	 * @param startedAt the replica's start, in Unix milliseconds, 0 if not reported
	 */
	void onReplicaStarted(long now, long timeOfDay, long startedAt) {
		if (startedAt <= 0 || this.clockWrong) {
			return;
		}
		if (this.anchored) {
			boolean afterOrder = startedAt + this.clockOffsetMillis >= this.notBefore - MAX_CLOCK_ERROR_MILLIS;
			this.firstStartedAt = afterOrder ? Math.min(this.firstStartedAt, startedAt) : this.firstStartedAt;
			return;
		}
		long localStart = now - timeOfDay + startedAt;
		if (localStart >= this.notBefore - MAX_CLOCK_ERROR_MILLIS && localStart <= now + MAX_CLOCK_ERROR_MILLIS) {
			this.anchored = true;
			this.clockOffsetMillis = now - timeOfDay;
			this.firstStartedAt = startedAt;
		}
	}

	/**
	 * Handles the elapsed time that a peer reported. The note took a while to arrive, so
	 * that the true time is no shorter.
	 */
	void onElapsedReported(long now, long elapsedMillis) {
		if (elapsedMillis - elapsedMillis(now) > MAX_BEHIND_PEERS_MILLIS) {
			this.clockWrong |= this.anchored;
			this.anchored = false;
		}
		this.learnedAt = Math.min(this.learnedAt, now - elapsedMillis);
	}

	/**
	 * Returns how long ago the roll-out began, in milliseconds, never negative.
	 */
	long elapsedMillis(long now) {
		return Math.max(0, now - (this.anchored ? this.firstStartedAt + this.clockOffsetMillis : this.learnedAt));
	}

	/**
	 * Returns how long ago the order was given, in milliseconds: the longer of the time
	 * since the first replica's start and the time since this node learned of the order.
	 */
	long elapsedSinceOrderMillis(long now) {
		return Math.max(elapsedMillis(now), now - this.learnedAt);
	}

}
