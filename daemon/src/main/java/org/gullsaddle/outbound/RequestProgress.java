package org.gullsaddle.outbound;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;

/**
 * Observes the one request on a connection, behind the HTTP encoder.
 */
final class RequestProgress extends ChannelOutboundHandlerAdapter {

	private boolean head;

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			this.head = request.method().equals(HttpMethod.HEAD);
		}
		context.write(message, promise);
	}

	/**
	 * Returns whether the method is HEAD, so that the answer has no body.
	 */
	boolean isHead() {
		return this.head;
	}

}
