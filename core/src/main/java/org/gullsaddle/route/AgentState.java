package org.gullsaddle.route;

import java.util.HashSet;
import java.util.Set;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.LoadReport;

/**
 * What the router knows of one agent.
 */
final class AgentState {

	private static final double SMOOTHING = 0.2;

	private static final int FAILURES_TO_EJECT = 3;

	private static final long EJECTED_MILLIS = 2000;

	private static final int MAX_DOUBLINGS = 5;

	private final Set<AttemptId> outstanding = new HashSet<>();

	private AgentInfo info;

	private LoadReport load;

	private boolean leaving;

	private double others;

	private int failures;

	private long ejectedUntil = Long.MIN_VALUE;

	AgentState(AgentInfo info) {
		update(info);
	}

	void update(AgentInfo newInfo) {
		this.info = newInfo;
		report(newInfo.load());
	}

	void report(LoadReport newLoad) {
		this.load = newLoad;
		double notOurs = newLoad.running() + newLoad.waiting() - this.outstanding.size();
		this.others += SMOOTHING * (notOurs - this.others);
	}

	AgentInfo info() {
		return this.info;
	}

	boolean leaving() {
		return this.leaving;
	}

	void leave() {
		this.leaving = true;
	}

	void sent(AttemptId attempt) {
		this.outstanding.add(attempt);
	}

	void ended(AttemptId attempt) {
		this.outstanding.remove(attempt);
	}

	Set<AttemptId> outstanding() {
		return Set.copyOf(this.outstanding);
	}

	void succeeded() {
		this.failures = 0;
		this.ejectedUntil = Long.MIN_VALUE;
	}

	/**
	 * Notes a failure; true if it is the first since a success.
	 * <p>
	 * A backend server that fails at once always looks empty, and would draw all work to
	 * itself. After a few failures in a row it is left out for a while, then tried again.
	 */
	boolean failed(long now) {
		this.failures++;
		int over = this.failures - FAILURES_TO_EJECT;
		if (over >= 0) {
			this.ejectedUntil = now + (EJECTED_MILLIS << Math.min(over, MAX_DOUBLINGS));
		}
		return this.failures == 1;
	}

	boolean ejected(long now) {
		return now < this.ejectedUntil;
	}

	/**
	 * Returns how full the backend server is likely to be; 1 is as many as it can run.
	 * <p>
	 * A report is seconds old, and every entry that trusts it sends to the same idle
	 * server until the next one comes. What this entry has outstanding it knows exactly;
	 * only the part of the others is taken from reports, and smoothed, as its moves are
	 * old news.
	 */
	double pressure() {
		return (this.outstanding.size() + Math.max(0, this.others)) / this.load.slots();
	}

}
