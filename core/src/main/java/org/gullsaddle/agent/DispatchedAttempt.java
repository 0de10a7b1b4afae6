package org.gullsaddle.agent;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.NodeId;

/**
 * An attempt that was dispatched to an agent: queued, or running on its backend server.
 * Stamps are of the hybrid clock.
 */
final class DispatchedAttempt {

	private final NodeId entry;

	private final Dispatch dispatch;

	private final long deadline;

	private final long arrivalNumber;

	private double finishTag;

	private long answerLength;

	private long startMillis;

	private long startStamp;

	private boolean orphaned;

	private boolean cancelled;

	private boolean alone;

	DispatchedAttempt(NodeId entry, Dispatch dispatch, long deadline, long arrival) {
		this.entry = entry;
		this.dispatch = dispatch;
		this.deadline = deadline;
		this.arrivalNumber = arrival;
		this.answerLength = dispatch.resume().length();
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

	long arrivalNumber() {
		return this.arrivalNumber;
	}

	double finishTag() {
		return this.finishTag;
	}

	void assignFinishTag(double tag) {
		this.finishTag = tag;
	}

	long answerLength() {
		return this.answerLength;
	}

	void addAnswerLength(int characters) {
		this.answerLength += characters;
	}

	void markStarted(long millis, long stamp) {
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

	void alone(boolean runsAlone) {
		this.alone = runsAlone;
	}

	boolean isCancelled() {
		return this.cancelled;
	}

	void markCancelled() {
		this.cancelled = true;
	}

	boolean isOrphaned() {
		return this.orphaned;
	}

	void markOrphaned() {
		this.orphaned = true;
	}

}
