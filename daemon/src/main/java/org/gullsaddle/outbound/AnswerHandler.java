package org.gullsaddle.outbound;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Checks the head of the one answer on a connection before the HTTP decoder gets it as a
 * whole.
 */
final class AnswerHandler extends ByteToMessageDecoder {

	private AnswerHead head = new AnswerHead();

	private boolean headPassed;

	private boolean failed;

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
		try {
			if (this.failed) {
				in.skipBytes(in.readableBytes());
			}
			else if (this.headPassed) {
				out.add(in.readRetainedSlice(in.readableBytes()));
			}
			else {
				readHead(in, out);
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
			this.headPassed = true;
		}
		out.add(in.readRetainedSlice(bytes));
	}

}
