package org.gullsaddle.serve;

/**
 * Ejects a backend server for a while after several failures in a row.
 * <p>
 * A backend server that fails at once always looks idle and would attract all requests.
 * After a few failures in a row it is ejected, for twice as long each time, and then
 * tried again.
 */
public final class OutlierEjection {

	private static final int FAILURES_TO_EJECT = 3;

	private static final long BASE_EJECTION_MILLIS = 2000;

	private static final int MAX_DOUBLINGS = 5;

	private int failures;

	private long ejectedUntil = Long.MIN_VALUE;

	/**
	 * Records a success, which ends an ejection.
	 */
	public void onSuccess() {
		this.failures = 0;
		this.ejectedUntil = Long.MIN_VALUE;
	}

	/**
	 * Records a failure.
	 * @param now the time in milliseconds
	 * @return true if it is the first since a success
	 */
	public boolean onFailure(long now) {
		this.failures++;
		int excessFailures = this.failures - FAILURES_TO_EJECT;
		if (excessFailures >= 0) {
			this.ejectedUntil = now + (BASE_EJECTION_MILLIS << Math.min(excessFailures, MAX_DOUBLINGS));
		}
		return this.failures == 1;
	}

	/**
	 * Ejects the server at once because it cannot be reached.
	 * @param now the time in milliseconds
	 * @param millis for how long
	 */
	public void eject(long now, long millis) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + millis);
	}

	/**
	 * Returns whether the server is ejected.
	 * @param now the time in milliseconds
	 * @return true if it is
	 */
	public boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

}
