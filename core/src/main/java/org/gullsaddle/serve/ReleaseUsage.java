package org.gullsaddle.serve;

import java.util.Collection;

import org.gullsaddle.base.LoadReport;

/**
 * What a node has sent to a service since a roll-out was ordered, and under which loads
 * the replicas of the old release said that they ran it. Confined to one thread.
 * <p>
 * For requests without a session each node keeps to the allowance of an unproved release
 * by its own count: its part of what it sent, and an equal part of the slack. The sum
 * over all nodes keeps to it then, whatever they know of each other. Sessions that were
 * let in stay, so that what all nodes sent is watched too.
 */
final class ReleaseUsage {

	private static final double SMOOTHING = 0.1;

	private final RolloutLimits limits;

	private int sent;

	private int sentToTarget;

	private double oldLoad;

	ReleaseUsage(RolloutLimits limits) {
		this.limits = limits;
	}

	/**
	 * Notes that a request was sent.
	 * @param toTarget whether it went to the new release
	 */
	void sent(boolean toTarget) {
		this.sent++;
		this.sentToTarget += toTarget ? 1 : 0;
	}

	/**
	 * Takes in what a replica of the old release told of its load.
	 */
	void onOldLoadReported(LoadReport load) {
		this.oldLoad += SMOOTHING * (LoadTrial.loadRatio(load) - this.oldLoad);
	}

	/**
	 * Says whether one more request may go to the new release while it is not proved.
	 * @param nodes how many nodes share the slack, 0 if that is not known
	 */
	boolean canSendToTarget(int nodes) {
		double slack = (nodes > 0) ? this.limits.extraRequests() / nodes : 0;
		return this.sentToTarget + 1 <= this.limits.share() * (this.sent + 1) + slack;
	}

	/**
	 * Says whether the allowance is spent, as far as all nodes tell.
	 * @param notes what the others told
	 */
	boolean isAllowanceSpent(Collection<RolloutNote> notes) {
		int all = this.sent + notes.stream().mapToInt(RolloutNote::sent).sum();
		int toTarget = this.sentToTarget + notes.stream().mapToInt(RolloutNote::sentToTarget).sum();
		return toTarget > this.limits.share() * all + this.limits.extraRequests();
	}

	/**
	 * Returns the requests that were sent to any release, repeated ones too.
	 */
	int sent() {
		return this.sent;
	}

	int sentToTarget() {
		return this.sentToTarget;
	}

	/**
	 * Returns what usually runs at once at a replica of the old release, as a part of its
	 * slots.
	 */
	double oldLoad() {
		return this.oldLoad;
	}

}
