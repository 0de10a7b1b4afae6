package org.gullsaddle.suspect;

/**
 * A trait whose requests are refused. It lasts while such requests come; now and then one
 * of them is let through, ever more rarely, which clears the trait if it is sound.
 */
final class BlockedTrait {

	/** When the first request is let through, in milliseconds. */
	private static final long FIRST_TRIAL_DELAY_MILLIS = 30_000;

	/** How many times longer than before the wait is after each of them. */
	private static final int TRIAL_DELAY_FACTOR = 4;

	/** The longest wait, in milliseconds. */
	private static final long MAX_TRIAL_DELAY_MILLIS = 7_200_000;

	/** How long it lasts after the last request with the trait, in milliseconds. */
	static final long EXPIRY_MILLIS = 600_000;

	private final Trait trait;

	private final long blockedAt;

	private long lastCrashAt;

	private long lastRequestAt;

	private int trialCount;

	private long nextTrialAt;

	/** When any node told last that such requests come. */
	private long reportedAt;

	/** Whether any node told of it at all. */
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
	 * Takes in what another node told.
	 */
	void merge(long now, CrashNote.NotedBlock told, long lagMillis) {
		this.reported = true;
		this.lastCrashAt = Math.max(this.lastCrashAt, now - lagMillis - told.crashAgeMillis());
		this.lastRequestAt = Math.max(this.lastRequestAt, now - lagMillis - told.seenAgeMillis());
		this.reportedAt = Math.max(this.reportedAt, now - lagMillis);
		this.nextTrialAt = Math.max(this.nextTrialAt, now - lagMillis + told.trialInMillis());
		this.trialCount = Math.max(this.trialCount, told.trials());
	}

	CrashNote.NotedBlock toNotedBlock(long now) {
		this.reported = true;
		this.reportedAt = now;
		return new CrashNote.NotedBlock(this.trait, now - this.lastCrashAt, now - this.lastRequestAt, this.trialCount,
				this.nextTrialAt - now);
	}

	/**
	 * Notes that a request with the trait came.
	 * @return whether others are to be told, as they may not have seen any for long
	 */
	boolean onRequest(long now) {
		this.lastRequestAt = now;
		return now - this.reportedAt > EXPIRY_MILLIS / 4;
	}

	void onCrash(long at) {
		this.lastCrashAt = Math.max(this.lastCrashAt, at);
	}

	/**
	 * Notes that a request is let through.
	 */
	void onTrial(long now) {
		this.trialCount++;
		double wait = FIRST_TRIAL_DELAY_MILLIS * Math.pow(TRIAL_DELAY_FACTOR, this.trialCount);
		this.nextTrialAt = now + Math.round(Math.min(MAX_TRIAL_DELAY_MILLIS, wait));
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
	 * Returns since when it is refused.
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
