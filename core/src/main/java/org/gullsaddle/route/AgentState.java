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

	private AgentInfo info;

	private LoadReport load;

	private boolean leaving;

	private int sentSinceReport;

	private final Set<AttemptId> outstanding = new HashSet<>();

	AgentState(AgentInfo info) {
		update(info);
	}

	void update(AgentInfo newInfo) {
		this.info = newInfo;
		report(newInfo.load());
	}

	void report(LoadReport newLoad) {
		this.load = newLoad;
		this.sentSinceReport = 0;
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
		this.sentSinceReport++;
	}

	void ended(AttemptId attempt) {
		this.outstanding.remove(attempt);
	}

	Set<AttemptId> outstanding() {
		return Set.copyOf(this.outstanding);
	}

	/**
	 * Returns how full the backend server is likely to be; 1 is as many as it can run.
	 * <p>
	 * A report is seconds old, and every entry that trusts it alone sends to the same
	 * idle server at once. What this entry sent since the report counts on top, and what
	 * it has outstanding is a floor.
	 */
	double pressure() {
		int reported = this.load.running() + this.load.waiting() + this.sentSinceReport;
		return (double) Math.max(reported, this.outstanding.size()) / this.load.slots();
	}

}
