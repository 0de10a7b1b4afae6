package org.gullsaddle.store;

import java.nio.charset.StandardCharsets;
import java.util.function.BiFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/**
 * A server that sends the beginning of each answer once more and closes no connection.
 * Runs on one event loop.
 */
public final class StutteringServer {

	private static final Pattern LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

	private static final String HEAD_END = "\r\n\r\n";

	private final NetServer server;

	private final BiFunction<String, Integer, String> answers;

	private int repeatedBytes;

	private boolean late;

	private volatile int calls;

	/**
	 * Creates a server.
	 * @param vertx where it runs
	 * @param answers makes the body of an answer from the call and its number
	 */
	public StutteringServer(Vertx vertx, BiFunction<String, Integer, String> answers) {
		this.answers = answers;
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
	 * Sets what of the next answers is sent once more.
	 * @param bytes how many bytes, at most all of them
	 * @param afterTheNextCall whether they are sent when the next call has come, instead
	 * of with the answer
	 */
	public void repeat(int bytes, boolean afterTheNextCall) {
		this.repeatedBytes = bytes;
		this.late = afterTheNextCall;
	}

	/**
	 * Returns how many calls have come.
	 * @return the number of the last call
	 */
	public int calls() {
		return this.calls;
	}

	private void connected(NetSocket socket) {
		StringBuilder read = new StringBuilder();
		StringBuilder owed = new StringBuilder();
		socket.handler((part) -> {
			read.append(part.toString(StandardCharsets.ISO_8859_1));
			int head = read.indexOf(HEAD_END);
			Matcher length = LENGTH.matcher(read);
			int end = head + HEAD_END.length() + (length.find() ? Integer.parseInt(length.group(1)) : 0);
			if (head >= 0 && read.length() >= end) {
				String call = read.substring(0, end);
				read.delete(0, end);
				reply(socket, call, owed);
			}
		});
	}

	private void reply(NetSocket socket, String call, StringBuilder owed) {
		this.calls++;
		String body = this.answers.apply(call, this.calls);
		String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
				+ HEAD_END + body;
		String repeated = answer.substring(0, Math.min(this.repeatedBytes, answer.length()));
		String before = owed.toString();
		owed.setLength(0);
		if (this.late) {
			owed.append(repeated);
		}
		socket.write(before + answer + (this.late ? "" : repeated));
	}

}
