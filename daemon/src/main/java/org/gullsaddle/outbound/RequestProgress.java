package org.gullsaddle.outbound;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Observes the one request on a connection, behind the HTTP encoder.
 */
final class RequestProgress extends ChannelOutboundHandlerAdapter {

	private boolean head;

	private boolean body;

	private boolean written;

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof HttpRequest request) {
			this.head = request.method().equals(HttpMethod.HEAD);
		}
		if (message instanceof HttpContent content && content.content().isReadable()) {
			this.body = true;
		}
		if (message instanceof LastHttpContent) {
			ChannelPromise end = promise.unvoid();
			end.addListener((done) -> this.written = done.isSuccess());
			context.write(message, end);
		}
		else {
			context.write(message, promise);
		}
	}

	/**
	 * Returns whether the method is HEAD, so that the answer has no body.
	 */
	boolean isHead() {
		return this.head;
	}

	/**
	 * Returns whether the request has a body that is not empty.
	 */
	boolean hasBody() {
		return this.body;
	}

	/**
	 * Returns whether all of the request was handed to the operating system.
	 */
	boolean isWritten() {
		return this.written;
	}

}
