package org.gullsaddle.suspect;

/**
 * A trait whose requests are refused. It lasts while such requests come; now and then one
 * of them is let through, ever more rarely, which clears the trait if it is sound.
 */
final class Conviction {

	/** When the first request is let through, in milliseconds. */
	private static final long FIRST_TRIAL_MILLIS = 30_000;

	/** How many times longer than before the wait is after each of them. */
	private static final int LONGER = 4;

	/** The longest wait, in milliseconds. */
	private static final long LAST_TRIAL_MILLIS = 7_200_000;

	/** How long it lasts after the last request with the trait, in milliseconds. */
	static final long QUIET_MILLIS = 600_000;

	private final Trait trait;

	private final long since;

	private long crashAt;

	private long seenAt;

	private int trials;

	private long trialAt;

	/** When any node told last that such requests come. */
	private long toldAt;

	/** Whether any node told of it at all. */
	private boolean told;

	Conviction(Trait trait, long now, long crashAt) {
		this.trait = trait;
		this.since = now;
		this.crashAt = crashAt;
		this.seenAt = now;
		this.toldAt = now;
		this.trialAt = now + FIRST_TRIAL_MILLIS;
	}

	/**
	 * Takes in what another node told.
	 */
	void learn(long now, CrashNote.NotedBlock told, long lagMillis) {
		this.told = true;
		this.crashAt = Math.max(this.crashAt, now - lagMillis - told.crashAgeMillis());
		this.seenAt = Math.max(this.seenAt, now - lagMillis - told.seenAgeMillis());
		this.toldAt = Math.max(this.toldAt, now - lagMillis);
		this.trialAt = Math.max(this.trialAt, now - lagMillis + told.trialInMillis());
		this.trials = Math.max(this.trials, told.trials());
	}

	CrashNote.NotedBlock tell(long now) {
		this.told = true;
		this.toldAt = now;
		return new CrashNote.NotedBlock(this.trait, now - this.crashAt, now - this.seenAt, this.trials,
				this.trialAt - now);
	}

	/**
	 * Notes that a request with the trait came.
	 * @return whether others are to be told, as they may not have seen any for long
	 */
	boolean seen(long now) {
		this.seenAt = now;
		return now - this.toldAt > QUIET_MILLIS / 4;
	}

	void crashed(long at) {
		this.crashAt = Math.max(this.crashAt, at);
	}

	/**
	 * Notes that a request is let through.
	 */
	void tried(long now) {
		this.trials++;
		double wait = FIRST_TRIAL_MILLIS * Math.pow(LONGER, this.trials);
		this.trialAt = now + Math.round(Math.min(LAST_TRIAL_MILLIS, wait));
	}

	boolean told() {
		return this.told;
	}

	boolean over(long now) {
		return now - this.seenAt > QUIET_MILLIS;
	}

	boolean trialDue(long now) {
		return now >= this.trialAt;
	}

	long trialInMillis(long now) {
		return Math.max(0, this.trialAt - now);
	}

	int trials() {
		return this.trials;
	}

	/**
	 * Returns since when it is refused.
	 */
	long since() {
		return this.since;
	}

	long crashAt() {
		return this.crashAt;
	}

	long seenAt() {
		return this.seenAt;
	}

	Trait trait() {
		return this.trait;
	}

}
