package org.gullsaddle.gateway;

import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Opens one connection by up to {@link #MAX_TRIES} tries.
 * <p>
 * If the first packet of a connection is lost, TCP sends it again only after a second,
 * which is most of the time that a request has. So another try begins while the one
 * before it still waits. The first connection that opens is used, the others are closed;
 * nothing was sent on them.
 */
final class ConnectionRace {

	/**
	 * Time after which a try that still waits is joined by another, in milliseconds:
	 * several round trips to the most distant region.
	 */
	static final long TRY_MILLIS = 250;

	/** Tries that may wait at the same time. */
	static final int MAX_TRIES = 3;

	private final Vertx vertx;

	private final Supplier<Future<ReplicaConnections.Channel>> open;

	private final Promise<ReplicaConnections.Channel> winner = Promise.promise();

	private int begun;

	ConnectionRace(Vertx vertx, Supplier<Future<ReplicaConnections.Channel>> open) {
		this.vertx = vertx;
		this.open = open;
	}

	/**
	 * Begins the first try.
	 * @return the connection, or the failure of the first try that failed
	 */
	Future<ReplicaConnections.Channel> start() {
		begin();
		return this.winner.future();
	}

	private void begin() {
		this.begun++;
		this.open.get().onComplete(this::onOpened, this::onFailed);
		if (this.begun < MAX_TRIES) {
			this.vertx.setTimer(TRY_MILLIS, (timer) -> beginAnother());
		}
	}

	private void beginAnother() {
		if (!this.winner.future().isComplete()) {
			begin();
		}
	}

	private void onOpened(ReplicaConnections.Channel channel) {
		if (!this.winner.tryComplete(channel)) {
			channel.close();
		}
	}

	/**
	 * Fails with the first try that does: nothing listens at the address, or the time to
	 * connect is over.
	 */
	private void onFailed(Throwable failure) {
		this.winner.tryFail(failure);
	}

}
