package org.gullsaddle.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.http.HttpConnection;

/**
 * Open connections of callers. Confined to the event loop.
 */
final class CallerConnections {

	private final Set<HttpConnection> open = new HashSet<>();

	/** Those that were opened after the load balancer should have noticed the stop. */
	private final Set<HttpConnection> late = new HashSet<>();

	/**
	 * Handles a new connection.
	 * @param afterNotice whether the load balancer should have noticed the stop
	 */
	void onOpened(HttpConnection connection, boolean afterNotice) {
		this.open.add(connection);
		if (afterNotice) {
			this.late.add(connection);
		}
		connection.closeHandler((nothing) -> {
			this.open.remove(connection);
			this.late.remove(connection);
		});
	}

	/**
	 * Returns whether a connection was opened after the load balancer should have noticed
	 * the stop: no other node was ready then.
	 */
	boolean isLate(HttpConnection connection) {
		return this.late.contains(connection);
	}

	/**
	 * Closes all open connections, each once its last answer was written, however slowly
	 * its caller reads.
	 * @return completes when all are closed
	 */
	Future<Void> close() {
		return Future.join(List.copyOf(this.open).stream().map(HttpConnection::close).toList()).mapEmpty();
	}

}
