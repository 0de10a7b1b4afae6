package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that arrived while a newly started node reads its configuration.
 * <p>
 * Reading takes about 0.2 s on a small machine. A caller that is refused in that time
 * retries after a quarter of a second at the earliest and has then used its only retry; a
 * queued request is served sooner. Requests are queued only briefly after the start:
 * later, a node that cannot reach the store refuses at once.
 */
final class StartupRequestQueue {

	/**
	 * How long after its start a node queues requests, in milliseconds: about three times
	 * the reading, and an eighth of a stream's objective.
	 */
	static final long HOLD_MILLIS = 500;

	/**
	 * Most requests that are queued; with more, the node would be late with all of them.
	 */
	private static final int MAX_REQUESTS = 200;

	private final List<Runnable> requests = new ArrayList<>();

	private boolean released;

	/**
	 * Queues a request.
	 * @param again serves or refuses it later
	 * @return false if it must be refused now
	 */
	boolean offer(Runnable again) {
		return !this.released && this.requests.size() < MAX_REQUESTS && this.requests.add(again);
	}

	int count() {
		return this.requests.size();
	}

	/**
	 * Runs all queued requests and accepts no more.
	 */
	void release() {
		this.released = true;
		List<Runnable> waiting = List.copyOf(this.requests);
		this.requests.clear();
		waiting.forEach(Runnable::run);
	}

}
