package org.gullsaddle.serve;

import java.util.Collection;

import org.gullsaddle.base.LoadReport;

/**
 * Counts the requests that this node has sent to each release of a service since a
 * roll-out was ordered, and tracks the load that the old release's replicas reported.
 * Confined to one thread.
 * <p>
 * For requests without a session, each node keeps within the allowance of an unproved
 * release by its own count: the share of what it sent itself, and an equal part of the
 * extra requests. All nodes together then keep within the allowance, whatever they know
 * of each other. Admitted sessions stay, so the sum over all nodes is checked too.
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
	 * Counts a request that was sent.
	 * @param toTarget whether it went to the new release
	 */
	void sent(boolean toTarget) {
		this.sent++;
		this.sentToTarget += toTarget ? 1 : 0;
	}

	/**
	 * Handles the load that a replica of the old release reported.
	 */
	void onOldLoadReported(LoadReport load) {
		this.oldLoad += SMOOTHING * (LoadTrial.loadRatio(load) - this.oldLoad);
	}

	/**
	 * Returns whether one more request may go to the new release while it is not proved.
	 * @param nodes how many nodes share the extra requests, 0 if that is not known
	 */
	boolean canSendToTarget(int nodes) {
		double extraRequests = (nodes > 0) ? this.limits.extraRequests() / nodes : 0;
		return this.sentToTarget + 1 <= this.limits.share() * (this.sent + 1) + extraRequests;
	}

	/**
	 * Returns whether the allowance is exceeded, by the counts of all nodes.
	 * @param notes the last notes of the peers
	 */
	boolean isAllowanceSpent(Collection<RolloutNote> notes) {
		int all = this.sent + notes.stream().mapToInt(RolloutNote::sent).sum();
		int toTarget = this.sentToTarget + notes.stream().mapToInt(RolloutNote::sentToTarget).sum();
		return toTarget > this.limits.share() * all + this.limits.extraRequests();
	}

	/**
	 * Returns the number of requests sent to any release, including retries.
	 */
	int sent() {
		return this.sent;
	}

	int sentToTarget() {
		return this.sentToTarget;
	}

	/**
	 * Returns the mean load of the old release's replicas, as a ratio of their slots.
	 */
	double oldLoad() {
		return this.oldLoad;
	}

}
