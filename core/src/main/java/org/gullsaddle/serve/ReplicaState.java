package org.gullsaddle.serve;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;

/**
 * What this node knows of one replica from its own requests there.
 */
final class ReplicaState {

	private static final double SMOOTHING = 0.1;

	/** How long a first refused connection leaves a replica out, in milliseconds. */
	private static final long UNREACHABLE_MILLIS = 700;

	private final KeptParts parts = new KeptParts();

	private final OthersLoad others = new OthersLoad();

	private final Ejection ejection = new Ejection();

	private Replica replica;

	private int running;

	private long unreadTokens;

	private double failureShare;

	private long heardAt = Long.MIN_VALUE;

	ReplicaState(Replica replica) {
		this.replica = replica;
	}

	Replica replica() {
		return this.replica;
	}

	void describe(Replica newReplica) {
		this.replica = newReplica;
	}

	void sent(String model, Prompt prompt, int unread, long capacity) {
		this.running++;
		this.unreadTokens += unread;
		this.parts.read(model, prompt.parts(), capacity);
	}

	/**
	 * Notes that the replica has read a prompt, or need not any more.
	 */
	void read(int unread) {
		this.unreadTokens = Math.max(0, this.unreadTokens - unread);
	}

	void ended() {
		this.running = Math.max(0, this.running - 1);
	}

	void report(LoadReport report) {
		this.others.report(report, this.running);
	}

	void heard(long now) {
		this.heardAt = now;
	}

	long heardAt() {
		return this.heardAt;
	}

	void succeeded() {
		this.ejection.succeeded();
		this.failureShare -= SMOOTHING * this.failureShare;
	}

	void failed(long now) {
		this.ejection.failed(now);
		this.failureShare += SMOOTHING * (1 - this.failureShare);
	}

	void unreachable(long now) {
		this.ejection.failed(now);
		this.ejection.eject(now, UNREACHABLE_MILLIS);
	}

	boolean ejected(long now) {
		return this.ejection.ejected(now);
	}

	double failureShare() {
		return this.failureShare;
	}

	double requests() {
		return this.running + this.others.requests();
	}

	long unreadTokens() {
		return this.unreadTokens;
	}

	int kept(String model, Prompt prompt) {
		return this.parts.kept(model, prompt.parts());
	}

}
