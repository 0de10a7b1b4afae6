package org.gullsaddle.serve;

/**
 * Leaves a backend server out for a while once it fails several times in a row.
 * <p>
 * A backend server that fails at once always looks empty, and would draw all work to
 * itself. After a few failures in a row it is left out, for twice as long each time, and
 * then tried again.
 */
public final class OutlierEjection {

	private static final int FAILURES_TO_EJECT = 3;

	private static final long BASE_EJECTION_MILLIS = 2000;

	private static final int MAX_DOUBLINGS = 5;

	private int failures;

	private long ejectedUntil = Long.MIN_VALUE;

	/**
	 * Notes a success, which brings the server back.
	 */
	public void onSuccess() {
		this.failures = 0;
		this.ejectedUntil = Long.MIN_VALUE;
	}

	/**
	 * Notes a failure.
	 * @param now the time in milliseconds
	 * @return true if it is the first since a success
	 */
	public boolean onFailure(long now) {
		this.failures++;
		int over = this.failures - FAILURES_TO_EJECT;
		if (over >= 0) {
			this.ejectedUntil = now + (BASE_EJECTION_MILLIS << Math.min(over, MAX_DOUBLINGS));
		}
		return this.failures == 1;
	}

	/**
	 * Leaves the server out at once, as nothing listens there.
	 * @param now the time in milliseconds
	 * @param millis for how long
	 */
	public void eject(long now, long millis) {
		this.ejectedUntil = Math.max(this.ejectedUntil, now + millis);
	}

	/**
	 * Says whether the server is left out.
	 * @param now the time in milliseconds
	 * @return true if it is
	 */
	public boolean isEjected(long now) {
		return now < this.ejectedUntil;
	}

}
