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
	 * Creates a server that does not listen yet.
	 * @param vertx the Vert.x instance
	 * @param self this node's identity
	 * @param listener receives the events of all links
	 */
	public PeerServer(Vertx vertx, PeerIdentity self, PeerListener listener) {
		this.server = vertx.createNetServer()
			.connectHandler((socket) -> new PeerLink(vertx, socket, self, listener, true).start());
	}

	/**
	 * Starts listening.
	 * @param address the address to bind
	 * @return the actual port
	 */
	public Future<Integer> listen(Address address) {
		return this.server.listen(address.port(), address.host()).map(NetServer::actualPort);
	}

	/**
	 * Stops listening and closes the links.
	 * @return completes once closed
	 */
	public Future<Void> close() {
		return this.server.close();
	}

}
