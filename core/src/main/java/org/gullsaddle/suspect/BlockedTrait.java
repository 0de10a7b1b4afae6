package org.gullsaddle.suspect;

/**
 * A trait whose requests are refused. The block lasts while such requests arrive. At
 * growing intervals one of them is let through as a trial; its success unblocks the
 * trait.
 */
final class BlockedTrait {

	/** How long after the block the first trial is due. */
	private static final long FIRST_TRIAL_DELAY_MILLIS = 30_000;

	/** The factor by which the delay grows after each trial. */
	private static final int TRIAL_DELAY_FACTOR = 4;

	/** The longest delay between two trials. */
	private static final long MAX_TRIAL_DELAY_MILLIS = 7_200_000;

	/** How long the block lasts after the last request with the trait. */
	static final long EXPIRY_MILLIS = 600_000;

	private final Trait trait;

	private final long blockedAt;

	private long lastCrashAt;

	private long lastRequestAt;

	private int trialCount;

	private long nextTrialAt;

	/** When any node last reported the block to its peers, in milliseconds. */
	private long reportedAt;

	/** Whether any node has reported the block to its peers. */
	private boolean reported;

	BlockedTrait(Trait trait, long now, long crashAt) {
		this.trait = trait;
		this.blockedAt = now;
		this.lastCrashAt = crashAt;
		this.lastRequestAt = now;
		this.reportedAt = now;
		this.nextTrialAt = now + FIRST_TRIAL_DELAY_MILLIS;
	}

	/**
	 * Merges the state that a peer reported.
	 */
	void merge(long now, CrashNote.NotedBlock noted, long lagMillis) {
		this.reported = true;
		this.lastCrashAt = Math.max(this.lastCrashAt, now - lagMillis - noted.crashAgeMillis());
		this.lastRequestAt = Math.max(this.lastRequestAt, now - lagMillis - noted.seenAgeMillis());
		this.reportedAt = Math.max(this.reportedAt, now - lagMillis);
		this.nextTrialAt = Math.max(this.nextTrialAt, now - lagMillis + noted.trialInMillis());
		this.trialCount = Math.max(this.trialCount, noted.trials());
	}

	CrashNote.NotedBlock toNotedBlock(long now) {
		this.reported = true;
		this.reportedAt = now;
		return new CrashNote.NotedBlock(this.trait, now - this.lastCrashAt, now - this.lastRequestAt, this.trialCount,
				this.nextTrialAt - now);
	}

	/**
	 * Handles the arrival of a request with the trait.
	 * @return whether to report it to peers, which may not have seen such a request for
	 * long and would let the block expire
	 */
	boolean onRequest(long now) {
		this.lastRequestAt = now;
		return now - this.reportedAt > EXPIRY_MILLIS / 4;
	}

	void onCrash(long at) {
		this.lastCrashAt = Math.max(this.lastCrashAt, at);
	}

	/**
	 * Counts a trial and schedules the next one.
	 */
	void onTrial(long now) {
		this.trialCount++;
		double delay = FIRST_TRIAL_DELAY_MILLIS * Math.pow(TRIAL_DELAY_FACTOR, this.trialCount);
		this.nextTrialAt = now + Math.round(Math.min(MAX_TRIAL_DELAY_MILLIS, delay));
	}

	boolean isReported() {
		return this.reported;
	}

	boolean isExpired(long now) {
		return now - this.lastRequestAt > EXPIRY_MILLIS;
	}

	boolean isTrialDue(long now) {
		return now >= this.nextTrialAt;
	}

	long trialInMillis(long now) {
		return Math.max(0, this.nextTrialAt - now);
	}

	int trialCount() {
		return this.trialCount;
	}

	/**
	 * Returns when the trait was blocked, in milliseconds.
	 */
	long blockedAt() {
		return this.blockedAt;
	}

	long lastCrashAt() {
		return this.lastCrashAt;
	}

	long lastRequestAt() {
		return this.lastRequestAt;
	}

	Trait trait() {
		return this.trait;
	}

}
