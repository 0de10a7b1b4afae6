package org.gullsaddle.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;

import org.gullsaddle.base.Address;

/**
 * Opens links to other nodes.
 */
public final class PeerDialer {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private final Vertx vertx;

	private final NetClient client;

	private final PeerIdentity self;

	/**
	 * Creates a dialer.
	 * @param vertx the Vert.x instance
	 * @param self this node's identity
	 */
	public PeerDialer(Vertx vertx, PeerIdentity self) {
		this.vertx = vertx;
		this.self = self;
		this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
	}

	/**
	 * Dials a node once.
	 * @param address the node's address
	 * @param listener receives the link's events
	 * @return completes once connected; the listener is called when the link is
	 * established
	 */
	public Future<PeerLink> dial(Address address, PeerListener listener) {
		return this.client.connect(address.port(), address.host()).map((socket) -> {
			PeerLink link = new PeerLink(this.vertx, socket, this.self, listener, false);
			link.start();
			return link;
		});
	}

}
