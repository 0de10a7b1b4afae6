package org.gullsaddle.serve;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;

/**
 * What this node knows about one replica from its own requests and the replica's reports.
 * Confined to one thread.
 */
final class ReplicaState {

	private static final double FAILURE_SMOOTHING = 0.1;

	/** How long a refused connection ejects a replica at least. */
	private static final long UNREACHABLE_EJECTION_MILLIS = 700;

	/** An older count of unread requests is replaced by an estimate below this weight. */
	private static final double MIN_REPORT_WEIGHT = 0.5;

	private final PrefixCacheModel promptCache = new PrefixCacheModel();

	/**
	 * How many requests of other nodes the replica has, and how many of them it has yet
	 * to read.
	 */
	private final ReportedLoad peerRequests = new ReportedLoad();

	private final ReportedLoad peerUnreadRequests = new ReportedLoad();

	private final OutlierEjection ejection = new OutlierEjection();

	private final ReplicaSlowdownTracker slowdown = new ReplicaSlowdownTracker();

	private Replica replica;

	private int running;

	/** How many of this node's requests the replica has yet to read. */
	private int unreadRequests;

	/** The prompts of these requests, in tokens of the smallest model. */
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

	void onSent(ReplicaTask task, double promptTokens, long capacity, PrefixCaches caches) {
		this.running++;
		this.unreadRequests++;
		this.unreadTokens += promptTokens;
		caches.onPromptRead(this.promptCache, task.model(), task.prompt().parts(), capacity);
	}

	/**
	 * Records that the replica has read a prompt, or does not need to any more.
	 */
	void onPromptRead(double promptTokens) {
		this.unreadRequests = Math.max(0, this.unreadRequests - 1);
		this.unreadTokens = Math.max(0, this.unreadTokens - promptTokens);
	}

	void onEnded() {
		this.running = Math.max(0, this.running - 1);
	}

	void onLoadReport(long now, LoadReport report) {
		double peerCount = report.running() + report.waiting() - this.running;
		this.peerRequests.onReport(now, peerCount);
		if (this.peerUnreadRequests.weight(now) < MIN_REPORT_WEIGHT) {
			// A plain report does not count unread requests, so the share of unread
			// requests
			// is assumed to be the same as among this node's own.
			this.peerUnreadRequests.onReport(now,
					(this.running > 0) ? peerCount * this.unreadRequests / this.running : 0);
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
	 * Estimates how many requests the replica has.
	 * @param meanPerReplica the mean number of other nodes' requests at a replica
	 */
	double estimateRequests(long now, double meanPerReplica) {
		return this.running + this.peerRequests.estimate(now, meanPerReplica);
	}

	/**
	 * Estimates how much the replica has yet to read, in tokens of the smallest model:
	 * this node's prompts, and the mean prompt of this node for each unread request of
	 * others.
	 * @param meanPerReplica the mean number of other nodes' unread requests at a replica
	 * @param tokensPerRequest the mean work of this node's requests, in such tokens
	 */
	double estimateBacklogTokens(long now, double meanPerReplica, double tokensPerRequest) {
		return this.unreadTokens + tokensPerRequest * this.peerUnreadRequests.estimate(now, meanPerReplica);
	}

	PrefixCacheModel promptCache() {
		return this.promptCache;
	}

	int cachedTokens(ReplicaTask task) {
		return this.promptCache.cachedTokens(task.model(), task.prompt().parts());
	}

}
