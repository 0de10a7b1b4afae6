package org.gullsaddle.inbound;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.vertx.core.http.impl.VertxHttpObject;

/**
 * Observes one request at a time, and its answer, between the HTTP codec and the server.
 */
final class Exchange extends ChannelDuplexHandler {

	private final InboundConnection connection;

	private BodyFraming framing;

	private boolean received;

	private boolean answerBegun;

	private boolean answerWritten;

	private boolean answerFlushed;

	private boolean last;

	Exchange(InboundConnection connection) {
		this.connection = connection;
	}

	/**
	 * Begins with the next request.
	 */
	void reset() {
		this.framing = null;
		this.received = false;
		this.answerBegun = false;
		this.answerWritten = false;
		this.answerFlushed = false;
	}

	/**
	 * Returns the framing of the body, null if the head was not decoded.
	 */
	BodyFraming framing() {
		return this.framing;
	}

	/**
	 * Returns whether the server has the whole request, which it may have begun to run.
	 */
	boolean isReceived() {
		return this.received;
	}

	boolean hasAnswerBegun() {
		return this.answerBegun;
	}

	/**
	 * Returns whether the whole answer was handed to the connection.
	 */
	boolean isAnswerWritten() {
		return this.answerWritten;
	}

	/**
	 * Returns whether the request was received and its whole answer was taken by the
	 * network.
	 */
	boolean hasEnded() {
		return this.received && this.answerFlushed;
	}

	/**
	 * Returns whether an answer has told the client that none follows.
	 */
	boolean isLastAnswered() {
		return this.last && this.answerWritten;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof HttpRequest request) {
			this.framing = framing(context, request);
		}
		if (message instanceof HttpContent content) {
			this.connection.onBody(content.content().readableBytes());
		}
		if (message instanceof LastHttpContent
				|| (message instanceof HttpRequest request && request.decoderResult().isFailure())) {
			this.received = true;
		}
		context.fireChannelRead(message);
	}

	private BodyFraming framing(ChannelHandlerContext context, HttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return new BodyFraming.None();
		}
		if (HttpUtil.isTransferEncodingChunked(request)) {
			return new ChunkedFraming(context.alloc(), this.connection.limits().headBytes());
		}
		long length = HttpUtil.getContentLength(request, 0L);
		return (length > 0) ? new BodyFraming.Fixed(length) : new BodyFraming.None();
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		boolean interim = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		if (message instanceof HttpResponse response && !interim) {
			this.answerBegun = true;
			this.last = response.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
		}
		boolean end = message instanceof LastHttpContent
				|| (message instanceof VertxHttpObject object && object.isEnded());
		if (!end || interim) {
			context.write(message, promise);
			return;
		}
		this.answerWritten = true;
		ChannelPromise flushed = promise.unvoid();
		flushed.addListener((done) -> {
			this.answerFlushed = true;
			this.connection.onAnswerFlushed();
		});
		context.write(message, flushed);
		this.connection.onAnswerWritten();
	}

}
