package org.gullsaddle.serve;

/**
 * How long ago a roll-out began, the same at all nodes. Confined to one thread.
 * <p>
 * Nodes learn of an order one after another, and some start while it is under way. The
 * order itself tells no time, but its first replica's entry does: all nodes count from
 * that replica's start. The start is told by the time of day, which may be wrong here. It
 * is taken only if it falls between what this node knew before the order and now, and
 * dropped if others turn out to be far ahead. Without it a node counts from when it
 * learned of the order, or from what others tell.
 */
final class RolloutClock {

	/** By how much the time of day may differ from the replicas', in milliseconds. */
	private static final long MAX_CLOCK_ERROR_MILLIS = 500;

	/** How far ahead others are at least for this node's time to be wrong. */
	private static final long MAX_BEHIND_PEERS_MILLIS = 1500;

	private final long notBefore;

	/** When it began as far as is known without replicas' starts. */
	private long learnedAt;

	private boolean anchored;

	private boolean clockWrong;

	/** What to add to the time of day for this node's own time, in milliseconds. */
	private long clockOffsetMillis;

	/** The time of day at which the first replica started, in milliseconds. */
	private long firstStartedAt;

	/**
	 * Makes the time of a roll-out that a node learns of.
	 * @param notBefore a time before which it was not ordered
	 * @param now the time
	 */
	RolloutClock(long notBefore, long now) {
		this.notBefore = notBefore;
		this.learnedAt = now;
	}

	/**
	 * Takes in when a replica of the new release started.
	 * @param timeOfDay the time of day here, in Unix milliseconds
	 * @param startedAt the replica's start, in Unix milliseconds, 0 if not told
	 */
	void onReplicaStarted(long now, long timeOfDay, long startedAt) {
		if (startedAt <= 0 || this.clockWrong) {
			return;
		}
		if (this.anchored) {
			boolean after = startedAt + this.clockOffsetMillis >= this.notBefore - MAX_CLOCK_ERROR_MILLIS;
			this.firstStartedAt = after ? Math.min(this.firstStartedAt, startedAt) : this.firstStartedAt;
			return;
		}
		long at = now - timeOfDay + startedAt;
		if (at >= this.notBefore - MAX_CLOCK_ERROR_MILLIS && at <= now + MAX_CLOCK_ERROR_MILLIS) {
			this.anchored = true;
			this.clockOffsetMillis = now - timeOfDay;
			this.firstStartedAt = startedAt;
		}
	}

	/**
	 * Takes in how long ago it began by another node's word, which took a while to come.
	 */
	void onElapsedReported(long now, long elapsedMillis) {
		if (elapsedMillis - elapsedMillis(now) > MAX_BEHIND_PEERS_MILLIS) {
			this.clockWrong |= this.anchored;
			this.anchored = false;
		}
		this.learnedAt = Math.min(this.learnedAt, now - elapsedMillis);
	}

	/**
	 * Returns how long ago it began, in milliseconds, 0 at least.
	 */
	long elapsedMillis(long now) {
		return Math.max(0, now - (this.anchored ? this.firstStartedAt + this.clockOffsetMillis : this.learnedAt));
	}

	/**
	 * Returns how long ago the order was given at most: before its first replica started.
	 */
	long elapsedSinceOrderMillis(long now) {
		return Math.max(elapsedMillis(now), now - this.learnedAt);
	}

}
