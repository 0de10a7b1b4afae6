package org.gullsaddle.outbound;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelInputShutdownReadComplete;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Checks the bytes of the one answer on a connection before the HTTP decoder gets them.
 * The decoder gets a head as a whole, once it is known to be valid, and nothing of what
 * follows the answer.
 * <p>
 * An answer without a length ends with its connection. It is whole only if the request
 * was sent completely and the connection was not reset. A server that ends the connection
 * without having read the request resets it, possibly after the end of the stream.
 */
final class AnswerHandler extends ByteToMessageDecoder {

	/**
	 * How long after the end of the stream a reset is awaited if the request has a body,
	 * in milliseconds.
	 */
	private static final long RESET_WAIT_MILLIS = 100;

	private final RequestProgress request;

	/** Largest body with its framing, in bytes. */
	private final long maxBodyBytes;

	private final long resetWaitMillis;

	private AnswerHead head = new AnswerHead();

	/** The body, null before its head is complete. */
	private AnswerBody body;

	private long bodyBytes;

	private boolean failed;

	/** Whether an answer without a length ended in order. */
	private boolean whole;

	AnswerHandler(RequestProgress request, long maxBodyBytes) {
		this(request, maxBodyBytes, RESET_WAIT_MILLIS);
	}

	AnswerHandler(RequestProgress request, long maxBodyBytes, long resetWaitMillis) {
		this.request = request;
		this.maxBodyBytes = maxBodyBytes;
		this.resetWaitMillis = resetWaitMillis;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		// Keeps the socket open at the end of the stream, so that its state can be
		// checked.
		context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
		if (event instanceof ChannelInputShutdownEvent) {
			onEndOfStream(context);
		}
		else if (!(event instanceof ChannelInputShutdownReadComplete)) {
			super.userEventTriggered(context, event);
		}
	}

	private void onEndOfStream(ChannelHandlerContext context) {
		if (!isUntilClose() || !this.request.isWritten()) {
			context.close();
		}
		else if (this.request.hasBody() && !PendingError.isPresent(context.channel())) {
			context.executor().schedule(() -> end(context), this.resetWaitMillis, TimeUnit.MILLISECONDS);
		}
		else {
			end(context);
		}
	}

	private void end(ChannelHandlerContext context) {
		if (context.channel().isOpen()) {
			this.whole = !PendingError.isPresent(context.channel());
			context.close();
		}
	}

	private boolean isUntilClose() {
		return this.body instanceof AnswerBody.UntilClose;
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		if (isUntilClose() && !this.whole) {
			context.fireExceptionCaught(new IOException("connection broke in an answer without a length"));
		}
		super.channelInactive(context);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
		try {
			if (this.failed || (this.body != null && this.body.hasEnded())) {
				in.skipBytes(in.readableBytes());
			}
			else if (this.body == null) {
				readHead(in, out);
			}
			else {
				readBody(in, out);
			}
		}
		catch (IOException ex) {
			this.failed = true;
			in.skipBytes(in.readableBytes());
			context.fireExceptionCaught(ex);
			context.close();
		}
	}

	private void readHead(ByteBuf in, List<Object> out) throws InvalidAnswerException {
		int bytes = this.head.check(in);
		if (bytes < 0) {
			return;
		}
		if (this.head.isInterim()) {
			this.head = new AnswerHead();
		}
		else {
			this.body = this.head.body(this.request.isHead());
		}
		out.add(in.readRetainedSlice(bytes));
	}

	private void readBody(ByteBuf in, List<Object> out) throws IOException {
		int bytes = this.body.check(in);
		this.bodyBytes += bytes;
		if (this.bodyBytes > this.maxBodyBytes) {
			throw new IOException("the answer is larger than " + this.maxBodyBytes + " bytes");
		}
		out.add(in.readRetainedSlice(bytes));
	}

}
