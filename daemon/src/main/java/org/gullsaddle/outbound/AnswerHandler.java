package org.gullsaddle.outbound;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Checks the bytes of the one answer on a connection before the HTTP decoder gets them.
 * The decoder gets a head as a whole, once it is known to be valid, and nothing of what
 * follows the answer.
 */
final class AnswerHandler extends ByteToMessageDecoder {

	private final RequestProgress request;

	private AnswerHead head = new AnswerHead();

	/** The body, null before its head is complete. */
	private AnswerBody body;

	private boolean failed;

	AnswerHandler(RequestProgress request) {
		this.request = request;
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
				out.add(in.readRetainedSlice(this.body.check(in)));
			}
		}
		catch (InvalidAnswerException ex) {
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

}
