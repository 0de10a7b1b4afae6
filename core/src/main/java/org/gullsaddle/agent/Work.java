package org.gullsaddle.agent;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.NodeId;

/**
 * An attempt that an agent has accepted.
 */
final class Work {

	private final NodeId entry;

	private final Dispatch dispatch;

	private final long deadline;

	private final long arrival;

	private double finishTag;

	private long length;

	private long startMillis;

	private long startStamp;

	private boolean orphaned;

	private boolean cancelled;

	private boolean alone;

	Work(NodeId entry, Dispatch dispatch, long deadline, long arrival) {
		this.entry = entry;
		this.dispatch = dispatch;
		this.deadline = deadline;
		this.arrival = arrival;
		this.length = dispatch.resume().length();
	}

	NodeId entry() {
		return this.entry;
	}

	Dispatch dispatch() {
		return this.dispatch;
	}

	AttemptId attempt() {
		return this.dispatch.attempt();
	}

	long deadline() {
		return this.deadline;
	}

	long arrival() {
		return this.arrival;
	}

	double finishTag() {
		return this.finishTag;
	}

	void tag(double tag) {
		this.finishTag = tag;
	}

	long length() {
		return this.length;
	}

	void grow(int characters) {
		this.length += characters;
	}

	void start(long millis, long stamp) {
		this.startMillis = millis;
		this.startStamp = stamp;
	}

	long startMillis() {
		return this.startMillis;
	}

	long startStamp() {
		return this.startStamp;
	}

	boolean alone() {
		return this.alone;
	}

	void alone(boolean nothingBeside) {
		this.alone = nothingBeside;
	}

	boolean cancelled() {
		return this.cancelled;
	}

	void cancel() {
		this.cancelled = true;
	}

	boolean orphaned() {
		return this.orphaned;
	}

	void orphan() {
		this.orphaned = true;
	}

}
