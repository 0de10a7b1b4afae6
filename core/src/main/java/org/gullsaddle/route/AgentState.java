package org.gullsaddle.route;

import java.util.HashSet;
import java.util.Set;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.serve.Ejection;

/**
 * What the router knows of one agent.
 */
final class AgentState {

	private final Set<AttemptId> outstanding = new HashSet<>();

	private AgentInfo info;

	private LoadReport load;

	private boolean leaving;

	private final PeerLoadEstimate others = new PeerLoadEstimate();

	private final Ejection ejection = new Ejection();

	AgentState(AgentInfo info) {
		update(info);
	}

	void update(AgentInfo newInfo) {
		this.info = newInfo;
		report(newInfo.load());
	}

	void report(LoadReport newLoad) {
		this.load = newLoad;
		this.others.onLoadReport(newLoad, this.outstanding.size());
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
		this.ejection.succeeded();
	}

	/**
	 * Notes a failure; true if it is the first since a success.
	 */
	boolean failed(long now) {
		return this.ejection.failed(now);
	}

	boolean ejected(long now) {
		return this.ejection.ejected(now);
	}

	/**
	 * Returns how full the backend server is likely to be; 1 is as many as it can run.
	 */
	double pressure() {
		return (this.outstanding.size() + this.others.requests()) / this.load.slots();
	}

}
