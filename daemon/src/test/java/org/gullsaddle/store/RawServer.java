package org.gullsaddle.store;

import java.nio.charset.StandardCharsets;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * A server that sends the same bytes whatever it is asked, and then closes the connection
 * or sends more without end.
 */
public final class RawServer {

	/**
	 * Where it stops after all, so that a fault fails a test and not the whole process.
	 */
	private static final int MAX_BYTES = 200_000_000;

	private static final int PIECE_BYTES = 16_384;

	private final NetServer server;

	private final Buffer answer;

	private final Buffer piece;

	private volatile long sentBytes;

	/**
	 * Creates a server.
	 * @param vertx where it runs
	 * @param answer the bytes, as ISO 8859-1 text
	 */
	public RawServer(Vertx vertx, String answer) {
		this(vertx, answer, "");
	}

	/**
	 * Creates a server that goes on without end.
	 * @param vertx where it runs
	 * @param answer the first bytes, as ISO 8859-1 text
	 * @param repeated what follows again and again
	 */
	public RawServer(Vertx vertx, String answer, String repeated) {
		this.piece = Buffer.buffer(repeated.isEmpty() ? "" : repeated.repeat(PIECE_BYTES / repeated.length()));
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

	/**
	 * Returns how many bytes without end were sent.
	 * @return the sum over all connections
	 */
	public long sentBytes() {
		return this.sentBytes;
	}

	private void connected(NetSocket socket) {
		socket.handler((part) -> {
			socket.handler(null);
			socket.write(this.answer).onComplete((done) -> sendOn(socket));
		});
	}

	private void sendOn(NetSocket socket) {
		if (this.piece.length() == 0 || this.sentBytes > MAX_BYTES) {
			socket.close();
			return;
		}
		socket.write(this.piece).onSuccess((done) -> {
			this.sentBytes += this.piece.length();
			sendOn(socket);
		});
	}

}
