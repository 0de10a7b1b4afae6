package org.gullsaddle.serve;

import org.gullsaddle.base.Verdict;
import org.gullsaddle.fleet.Route;

/**
 * Decides whether a request is tried again after an attempt, and what may be said of it.
 */
public final class RetryRule {

	/** How much time a second attempt needs to be worth its work, in milliseconds. */
	private static final long WORTH_MILLIS = 50;

	/**
	 * How many replicas that refuse or cannot be reached are tried for one request. Each
	 * costs a round trip and counts as an arrival.
	 */
	private static final int MAX_REFUSALS = 2;

	private final Route route;

	private int runs;

	private int refusals;

	private Verdict verdict = Verdict.NOT_RUN;

	/**
	 * Makes the rule for one request.
	 * @param route its route
	 */
	public RetryRule(Route route) {
		this.route = route;
	}

	/**
	 * Takes in an attempt's end.
	 * @param end the end
	 */
	public void ended(AttemptEnd end) {
		switch (end) {
			case AttemptEnd.NotRun notRun -> this.refusals++;
			case AttemptEnd.Answered answered -> ran(Verdict.RAN);
			case AttemptEnd.Broken broken -> ran(Verdict.MAY_HAVE_RUN);
			case AttemptEnd.Withdrawn withdrawn -> ran(Verdict.MAY_HAVE_RUN);
			case AttemptEnd.Dropped dropped -> ran(Verdict.MAY_HAVE_RUN);
		}
	}

	private void ran(Verdict attempt) {
		this.runs++;
		this.verdict = this.verdict.combine(attempt);
	}

	/**
	 * Says whether the request may have run.
	 * @return the verdict of all attempts together
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Says whether the answer under way may be dropped for another attempt.
	 * @param leftMillis the time left in milliseconds
	 * @return true if one more attempt is allowed after it
	 */
	public boolean mayDrop(long leftMillis) {
		return leftMillis >= WORTH_MILLIS && this.runs + 1 < this.route.maxAttempts() && this.route.isRepeatable();
	}

	/**
	 * Says whether an attempt that brings nothing may be given up for another one.
	 * @param leftMillis the time left in milliseconds
	 * @return true if one more attempt is allowed after it, and one after that if the
	 * next replica refuses it
	 */
	public boolean mayMove(long leftMillis) {
		return mayDrop(leftMillis) && this.refusals < MAX_REFUSALS;
	}

	/**
	 * Says whether the attempt after the one under way would be the last that is allowed.
	 * @return true if it would
	 */
	public boolean nextIsLast() {
		return this.runs + 2 >= this.route.maxAttempts();
	}

	/**
	 * Says whether another attempt is allowed and worth it. The budget is not asked.
	 * @param leftMillis the time left in milliseconds
	 * @return true if it is
	 */
	public boolean mayTryAgain(long leftMillis) {
		if (leftMillis < WORTH_MILLIS || this.runs >= this.route.maxAttempts() || this.refusals > MAX_REFUSALS) {
			return false;
		}
		return this.verdict == Verdict.NOT_RUN || this.route.isRepeatable();
	}

}
