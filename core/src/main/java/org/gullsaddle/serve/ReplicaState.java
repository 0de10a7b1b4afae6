package org.gullsaddle.serve;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;

/**
 * What this node knows of one replica from its own requests there.
 */
final class ReplicaState {

	private static final double FAILURE_SMOOTHING = 0.1;

	/** How long a first refused connection leaves a replica out, in milliseconds. */
	private static final long UNREACHABLE_EJECTION_MILLIS = 700;

	/** The weight from which a count of unread requests is not replaced by a guess. */
	private static final double MIN_REPORT_WEIGHT = 0.5;

	private final PrefixCacheModel promptCache = new PrefixCacheModel();

	/** The requests of other nodes there, and how many of them are still to be read. */
	private final ReportedLoad peerRequests = new ReportedLoad();

	private final ReportedLoad peerUnreadRequests = new ReportedLoad();

	private final OutlierEjection ejection = new OutlierEjection();

	private final ReplicaSlowdownTracker slowdown = new ReplicaSlowdownTracker();

	private Replica replica;

	private int running;

	/** How many of this node's requests are still to be read there. */
	private int unreadRequests;

	/** Their prompts, in tokens of the smallest model. */
	private double unreadTokens;

	private double failureShare;

	private long lastBytesAt = Long.MIN_VALUE;

	ReplicaState(Replica replica) {
		this.replica = replica;
	}

	Replica replica() {
		return this.replica;
	}

	void update(Replica newReplica) {
		this.replica = newReplica;
	}

	void onSent(ReplicaTask task, double unread, long capacity) {
		this.running++;
		this.unreadRequests++;
		this.unreadTokens += unread;
		this.promptCache.onPromptRead(task.model(), task.prompt().parts(), capacity);
	}

	/**
	 * Notes that the replica has read a prompt, or need not any more.
	 */
	void onPromptRead(double unread) {
		this.unreadRequests = Math.max(0, this.unreadRequests - 1);
		this.unreadTokens = Math.max(0, this.unreadTokens - unread);
	}

	void onEnded() {
		this.running = Math.max(0, this.running - 1);
	}

	void onLoadReport(long now, LoadReport report) {
		double count = report.running() + report.waiting() - this.running;
		this.peerRequests.onReport(now, count);
		if (this.peerUnreadRequests.weight(now) < MIN_REPORT_WEIGHT) {
			// A plain report does not tell, so the others' are taken to be as this
			// node's.
			this.peerUnreadRequests.onReport(now, (this.running > 0) ? count * this.unreadRequests / this.running : 0);
		}
	}

	void onLoadReport(long now, EngineReport report) {
		this.peerRequests.onReport(now, report.requests() - this.running);
		this.peerUnreadRequests.onReport(now, report.unreadRequests() - this.unreadRequests);
	}

	void onBytes(long now) {
		this.lastBytesAt = now;
	}

	long lastBytesAt() {
		return this.lastBytesAt;
	}

	void onSuccess() {
		this.ejection.onSuccess();
		this.failureShare -= FAILURE_SMOOTHING * this.failureShare;
	}

	void onFailure(long now) {
		this.ejection.onFailure(now);
		this.failureShare += FAILURE_SMOOTHING * (1 - this.failureShare);
	}

	void onUnreachable(long now) {
		this.ejection.onFailure(now);
		this.ejection.eject(now, UNREACHABLE_EJECTION_MILLIS);
	}

	boolean isEjected(long now) {
		return this.ejection.isEjected(now);
	}

	double failureShare() {
		return this.failureShare;
	}

	ReplicaSlowdownTracker slowdown() {
		return this.slowdown;
	}

	ReportedLoad peerRequests() {
		return this.peerRequests;
	}

	ReportedLoad peerUnreadRequests() {
		return this.peerUnreadRequests;
	}

	/**
	 * Returns how many requests are likely there.
	 * @param usual how many other nodes have at a replica on the mean
	 */
	double estimateRequests(long now, double usual) {
		return this.running + this.peerRequests.estimate(now, usual);
	}

	/**
	 * Returns what it likely has still to read, in tokens of the smallest model: what
	 * this node gave it, and for each request of other nodes as much as one has here.
	 * @param usual how many unread requests of other nodes a replica has on the mean
	 * @param tokens how much a request of this node has to be read, in such tokens
	 */
	double estimateBacklogTokens(long now, double usual, double tokens) {
		return this.unreadTokens + tokens * this.peerUnreadRequests.estimate(now, usual);
	}

	int cachedTokens(ReplicaTask task) {
		return this.promptCache.cachedTokens(task.model(), task.prompt().parts());
	}

}
