package org.gullsaddle.gateway;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vertx.core.http.HttpServerRequest;

/**
 * Requests that this node has read and not answered: each from its head until its answer
 * has ended or its connection has closed, whatever it waits for in between. A stopping
 * node must not end before the last of them. Confined to the event loop.
 */
final class InFlightRequests {

	private final Set<HttpServerRequest> requests = Collections.newSetFromMap(new IdentityHashMap<>());

	/** Those that no {@link RequestExecution} answers yet. */
	private final Map<HttpServerRequest, RequestBodyReader> waiting = new IdentityHashMap<>();

	/**
	 * Adds a request whose head was read.
	 * @param reader reads its body, and can refuse it until its execution has begun
	 */
	void add(HttpServerRequest request, RequestBodyReader reader) {
		this.requests.add(request);
		this.waiting.put(request, reader);
		request.response().endHandler((nothing) -> remove(request));
	}

	private void remove(HttpServerRequest request) {
		this.requests.remove(request);
		this.waiting.remove(request);
	}

	/**
	 * Records that the execution of a request has begun, which answers it from now on.
	 */
	void onExecutionStarted(HttpServerRequest request) {
		this.waiting.remove(request);
	}

	/**
	 * Returns the readers of the requests whose execution has not begun. None of them has
	 * run.
	 */
	List<RequestBodyReader> waiting() {
		return List.copyOf(this.waiting.values());
	}

	boolean isEmpty() {
		return this.requests.isEmpty();
	}

	int count() {
		return this.requests.size();
	}

}
