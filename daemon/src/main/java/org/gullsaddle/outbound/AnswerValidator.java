package org.gullsaddle.outbound;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Validates answers of servers that are not trusted. An answer that is not HTTP fails,
 * and nothing of it is passed on: the HTTP decoder by itself would skip or strip what
 * does not belong there.
 */
public final class AnswerValidator {

	private AnswerValidator() {
	}

	/**
	 * Validates the answer on a connection, which must not carry a second request.
	 * @param connection a connection of an HTTP/1.1 client, on which nothing was sent yet
	 */
	public static void install(HttpConnection connection) {
		ChannelHandlerContext client = ((ConnectionBase) connection).channelHandlerContext();
		RequestProgress request = new RequestProgress();
		client.pipeline().addFirst(new AnswerHandler(request));
		client.pipeline().addBefore(client.name(), null, request);
	}

}
