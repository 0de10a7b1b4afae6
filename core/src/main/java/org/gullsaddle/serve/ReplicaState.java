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

	private double unread;

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

	void sent(Task task, double unread, long capacity) {
		this.running++;
		this.unread += unread;
		this.parts.read(task.model(), task.prompt().parts(), capacity);
	}

	/**
	 * Notes that the replica has read a prompt, or need not any more.
	 */
	void read(double unread) {
		this.unread = Math.max(0, this.unread - unread);
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

	/**
	 * Returns what it likely has still to read, in tokens of the smallest model: what
	 * this node gave it, and as much for each request of other nodes.
	 */
	double backlog() {
		return (this.running > 0) ? this.unread * requests() / this.running : 0;
	}

	int kept(Task task) {
		return this.parts.kept(task.model(), task.prompt().parts());
	}

}
