package org.gullsaddle.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;

import org.gullsaddle.base.Address;

/**
 * Accepts links from other nodes.
 */
public final class PeerServer {

	private final NetServer server;

	/**
	 * Makes a server that does not listen yet.
	 * @param vertx where to run
	 * @param self who this node is
	 * @param listener hears of the links
	 */
	public PeerServer(Vertx vertx, PeerIdentity self, PeerListener listener) {
		this.server = vertx.createNetServer()
			.connectHandler((socket) -> new PeerLink(vertx, socket, self, listener, true).start());
	}

	/**
	 * Listens.
	 * @param address where
	 * @return the port once it listens
	 */
	public Future<Integer> listen(Address address) {
		return this.server.listen(address.port(), address.host()).map(NetServer::actualPort);
	}

	/**
	 * Stops listening and closes the links.
	 * @return done once it has
	 */
	public Future<Void> close() {
		return this.server.close();
	}

}
