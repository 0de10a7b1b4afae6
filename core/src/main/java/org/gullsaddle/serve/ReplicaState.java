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

	/** The weight from which a count of unread requests is not replaced by a guess. */
	private static final double STILL_TELLS = 0.5;

	private final KeptParts parts = new KeptParts();

	/** The requests of other nodes there, and how many of them are still to be read. */
	private final ReportedLoad others = new ReportedLoad();

	private final ReportedLoad othersUnread = new ReportedLoad();

	private final Ejection ejection = new Ejection();

	private final ReplicaPace pace = new ReplicaPace();

	private Replica replica;

	private int running;

	/** How many of this node's requests are still to be read there. */
	private int unreadRequests;

	/** Their prompts, in tokens of the smallest model. */
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
		this.unreadRequests++;
		this.unread += unread;
		this.parts.read(task.model(), task.prompt().parts(), capacity);
	}

	/**
	 * Notes that the replica has read a prompt, or need not any more.
	 */
	void read(double unread) {
		this.unreadRequests = Math.max(0, this.unreadRequests - 1);
		this.unread = Math.max(0, this.unread - unread);
	}

	void ended() {
		this.running = Math.max(0, this.running - 1);
	}

	void report(long now, LoadReport report) {
		double count = report.running() + report.waiting() - this.running;
		this.others.report(now, count);
		if (this.othersUnread.weight(now) < STILL_TELLS) {
			// A plain report does not tell, so the others' are taken to be as this
			// node's.
			this.othersUnread.report(now, (this.running > 0) ? count * this.unreadRequests / this.running : 0);
		}
	}

	void report(long now, EngineReport report) {
		this.others.report(now, report.requests() - this.running);
		this.othersUnread.report(now, report.unread() - this.unreadRequests);
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

	ReplicaPace pace() {
		return this.pace;
	}

	ReportedLoad others() {
		return this.others;
	}

	ReportedLoad othersUnread() {
		return this.othersUnread;
	}

	/**
	 * Returns how many requests are likely there.
	 * @param usual how many other nodes have at a replica on the mean
	 */
	double requests(long now, double usual) {
		return this.running + this.others.at(now, usual);
	}

	/**
	 * Returns what it likely has still to read, in tokens of the smallest model: what
	 * this node gave it, and for each request of other nodes as much as one has here.
	 * @param usual how many unread requests of other nodes a replica has on the mean
	 * @param tokens how much a request of this node has to be read, in such tokens
	 */
	double backlog(long now, double usual, double tokens) {
		return this.unread + tokens * this.othersUnread.at(now, usual);
	}

	int kept(Task task) {
		return this.parts.kept(task.model(), task.prompt().parts());
	}

}
