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
 * The requests that are not at their end, and when each is to be looked at again.
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
	 * Returns the request whose outstanding attempt this is, or null for an attempt that
	 * no longer counts.
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
	 * Says whether an attempt is known to have reached its agent.
	 */
	boolean hasReachedAgent(AttemptId attempt) {
		RequestState state = findByOutstandingAttempt(attempt);
		return state != null && state.hasReachedAgent();
	}

	/**
	 * Says whether an agent has an attempt of a content.
	 */
	boolean hasOutstandingAttempt(Fingerprint fingerprint) {
		return this.states.values()
			.stream()
			.anyMatch((state) -> state.outstanding() != null && state.request().fingerprint().equals(fingerprint));
	}

	void scheduleCheck(long time, RequestId request) {
		this.timers.add(new Timer(time, request));
	}

	/**
	 * Takes out the requests whose time has come.
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
