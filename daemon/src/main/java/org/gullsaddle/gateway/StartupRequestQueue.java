package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * Requests that came while a node has just started and reads its configuration.
 * <p>
 * The reading takes some 0.2 s of a small machine. A caller that is refused in that time
 * comes back a quarter of a second later at the earliest, and has used its one retry; one
 * that is held is served sooner. Only the first moments count: a node that cannot reach
 * the store refuses at once.
 */
final class StartupRequestQueue {

	/**
	 * How long after its start a node holds requests, in milliseconds: three times the
	 * reading, and an eighth of the objective of a stream.
	 */
	static final long HOLD_MILLIS = 500;

	/** How many requests are held; at more the node would be late with all of them. */
	private static final int MAX_REQUESTS = 200;

	private final List<Runnable> requests = new ArrayList<>();

	private boolean released;

	/**
	 * Holds a request.
	 * @param again has it served, or refused, later
	 * @return false if it is to be refused now
	 */
	boolean offer(Runnable again) {
		return !this.released && this.requests.size() < MAX_REQUESTS && this.requests.add(again);
	}

	int count() {
		return this.requests.size();
	}

	/**
	 * Lets all requests go on, and holds no more.
	 */
	void release() {
		this.released = true;
		List<Runnable> waiting = List.copyOf(this.requests);
		this.requests.clear();
		waiting.forEach(Runnable::run);
	}

}
