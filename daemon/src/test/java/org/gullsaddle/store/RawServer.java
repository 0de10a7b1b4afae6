package org.gullsaddle.store;

import java.nio.charset.StandardCharsets;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * A server that sends the same bytes whatever it is asked, and closes the connection.
 */
public final class RawServer {

	private final NetServer server;

	private final Buffer answer;

	/**
	 * Creates a server.
	 * @param vertx where it runs
	 * @param answer the bytes, as ISO 8859-1 text
	 */
	public RawServer(Vertx vertx, String answer) {
		this.answer = Buffer.buffer(answer.getBytes(StandardCharsets.ISO_8859_1));
		this.server = vertx.createNetServer().connectHandler(this::connected);
	}

	/**
	 * Starts listening on the loopback address.
	 * @return the port
	 */
	public Future<Integer> listen() {
		return this.server.listen(0, "127.0.0.1").map(NetServer::actualPort);
	}

	private void connected(NetSocket socket) {
		socket.handler((part) -> socket.write(this.answer).onComplete((done) -> socket.close()));
	}

}
