package org.gullsaddle.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.RequestId;

/**
 * The requests whose record is not written yet, by id, with the timers at which they are
 * checked.
 */
final class OpenRequests {

	private final Map<RequestId, RequestState> states = new LinkedHashMap<>();

	private final PriorityQueue<Timer> timers = new PriorityQueue<>(Comparator.comparingLong(Timer::dueMillis));

	void add(RequestState state) {
		this.states.put(state.id(), state);
	}

	RequestState find(RequestId request) {
		return this.states.get(request);
	}

	void remove(RequestId request) {
		this.states.remove(request);
	}

	int size() {
		return this.states.size();
	}

	/**
	 * Returns the request whose outstanding attempt this is, or null if the attempt has
	 * ended or was replaced.
	 */
	RequestState findByOutstandingAttempt(AttemptId attempt) {
		RequestState state = this.states.get(attempt.request());
		return (state != null && state.isOutstanding(attempt)) ? state : null;
	}

	void onAttemptAccepted(AttemptId attempt) {
		RequestState state = findByOutstandingAttempt(attempt);
		if (state != null) {
			state.markReachedAgent();
		}
	}

	/**
	 * Returns whether the agent is known to have accepted an attempt that is outstanding.
	 */
	boolean hasReachedAgent(AttemptId attempt) {
		RequestState state = findByOutstandingAttempt(attempt);
		return state != null && state.hasReachedAgent();
	}

	/**
	 * Returns whether an attempt with the given content is outstanding at an agent.
	 */
	boolean isRunning(Fingerprint fingerprint) {
		return this.states.values()
			.stream()
			.anyMatch((state) -> state.outstanding() != null && state.request().fingerprint().equals(fingerprint));
	}

	void scheduleCheck(long dueMillis, RequestId request) {
		this.timers.add(new Timer(dueMillis, request));
	}

	/**
	 * Removes the timers that are due and returns the open requests they belong to.
	 */
	List<RequestState> takeDue(long now) {
		List<RequestState> due = new ArrayList<>();
		while (!this.timers.isEmpty() && this.timers.peek().dueMillis() <= now) {
			RequestState state = this.states.get(this.timers.poll().request());
			if (state != null) {
				due.add(state);
			}
		}
		return due;
	}

	private record Timer(long dueMillis, RequestId request) {
	}

}
