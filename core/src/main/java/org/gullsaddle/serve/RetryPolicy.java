package org.gullsaddle.serve;

import org.gullsaddle.base.Verdict;
import org.gullsaddle.fleet.Route;

/**
 * Decides whether a request is retried after an attempt, and tracks whether it may have
 * run.
 */
public final class RetryPolicy {

	/**
	 * The least time to the deadline for which another attempt is worthwhile, in
	 * milliseconds.
	 */
	private static final long MIN_ATTEMPT_MILLIS = 50;

	/**
	 * How many replicas that refuse or cannot be reached are followed by another attempt.
	 * Each costs a round trip and counts as an arrival.
	 */
	private static final int MAX_REFUSALS = 2;

	private final Route route;

	private int runs;

	private int refusals;

	private Verdict verdict = Verdict.NOT_RUN;

	/**
	 * Creates the policy of one request.
	 * @param route its route
	 */
	public RetryPolicy(Route route) {
		this.route = route;
	}

	/**
	 * Handles the end of an attempt.
	 * @param end how it ended
	 */
	public void onAttemptEnded(AttemptEnd end) {
		switch (end) {
			case AttemptEnd.NotRun notRun -> this.refusals++;
			case AttemptEnd.Answered answered -> recordRun(Verdict.RAN);
			case AttemptEnd.Broken broken -> recordRun(Verdict.MAY_HAVE_RUN);
			case AttemptEnd.Withdrawn withdrawn -> recordRun(Verdict.MAY_HAVE_RUN);
			case AttemptEnd.Dropped dropped -> recordRun(Verdict.MAY_HAVE_RUN);
		}
	}

	private void recordRun(Verdict attempt) {
		this.runs++;
		this.verdict = this.verdict.combine(attempt);
	}

	/**
	 * Returns whether the request may have run.
	 * @return the verdict of all attempts together
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Returns whether the current answer may be dropped for another attempt.
	 * @param remainingMillis the time to the deadline, in milliseconds
	 * @return true if one more attempt is allowed after it
	 */
	public boolean canDropAnswer(long remainingMillis) {
		return remainingMillis >= MIN_ATTEMPT_MILLIS && this.runs + 1 < this.route.maxAttempts()
				&& this.route.isRepeatable();
	}

	/**
	 * Returns whether an attempt without progress may be given up for another one.
	 * @param remainingMillis the time to the deadline, in milliseconds
	 * @return true if one more attempt is allowed after it, and a further one if the next
	 * replica refuses it
	 */
	public boolean canMoveAttempt(long remainingMillis) {
		return canDropAnswer(remainingMillis) && this.refusals < MAX_REFUSALS;
	}

	/**
	 * Returns whether the attempt after the current one would be the last that is
	 * allowed.
	 * @return true if it would
	 */
	public boolean isNextAttemptLast() {
		return this.runs + 2 >= this.route.maxAttempts();
	}

	/**
	 * Returns whether another attempt is allowed and worthwhile, regardless of the retry
	 * budget.
	 * @param remainingMillis the time to the deadline, in milliseconds
	 * @return true if it is
	 */
	public boolean canRetry(long remainingMillis) {
		if (remainingMillis < MIN_ATTEMPT_MILLIS || this.runs >= this.route.maxAttempts()
				|| this.refusals > MAX_REFUSALS) {
			return false;
		}
		return this.verdict == Verdict.NOT_RUN || this.route.isRepeatable();
	}

}
