package org.gullsaddle.route;

import java.util.HashSet;
import java.util.Set;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.serve.OutlierEjection;

/**
 * An agent as the router sees it: its versions, its reported load and the attempts
 * outstanding there.
 */
final class AgentState {

	private final Set<AttemptId> outstandingAttempts = new HashSet<>();

	private AgentInfo info;

	private LoadReport load;

	private boolean leaving;

	private final PeerLoadEstimate peerLoad = new PeerLoadEstimate();

	private final OutlierEjection ejection = new OutlierEjection();

	AgentState(AgentInfo info) {
		update(info);
	}

	void update(AgentInfo newInfo) {
		this.info = newInfo;
		onLoadReport(newInfo.load());
	}

	void onLoadReport(LoadReport newLoad) {
		this.load = newLoad;
		this.peerLoad.onLoadReport(newLoad, this.outstandingAttempts.size());
	}

	AgentInfo info() {
		return this.info;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void markLeaving() {
		this.leaving = true;
	}

	void onAttemptSent(AttemptId attempt) {
		this.outstandingAttempts.add(attempt);
	}

	void onAttemptEnded(AttemptId attempt) {
		this.outstandingAttempts.remove(attempt);
	}

	Set<AttemptId> outstandingAttempts() {
		return Set.copyOf(this.outstandingAttempts);
	}

	void recordSuccess() {
		this.ejection.onSuccess();
	}

	/**
	 * Records a failure. Returns whether it is the first since a success.
	 */
	boolean recordFailure(long now) {
		return this.ejection.onFailure(now);
	}

	boolean isEjected(long now) {
		return this.ejection.isEjected(now);
	}

	/**
	 * Returns the estimated load of the backend server, as a ratio of the requests it can
	 * run at once.
	 */
	double loadRatio() {
		return (this.outstandingAttempts.size() + this.peerLoad.requests()) / this.load.slots();
	}

}
