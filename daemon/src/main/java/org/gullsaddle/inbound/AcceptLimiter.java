package org.gullsaddle.inbound;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;

/**
 * Handler of a listening socket. Accepts no more connections than the event loop that
 * serves them has time for: a connection uses memory from its acceptance, and is counted
 * by {@link InboundConnections} only when that loop has got it. Connections that wait to
 * be accepted are kept by the operating system, up to the backlog.
 */
public final class AcceptLimiter extends ChannelInboundHandlerAdapter {

	/** Connections that are accepted in one turn of the event loop. */
	private static final int MAX_PENDING = 64;

	/** Connections that were accepted and that the event loop may not have got. */
	private int pending;

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof Channel accepted) {
			this.pending++;
			if (this.pending >= MAX_PENDING) {
				context.channel().config().setAutoRead(false);
			}
			accepted.pipeline().addLast(new RegistrationListener(context));
		}
		context.fireChannelRead(message);
	}

	private void onRegistered(Channel listening) {
		this.pending--;
		if (this.pending == MAX_PENDING / 2) {
			listening.config().setAutoRead(true);
		}
	}

	/**
	 * Tells the limiter, on its own event loop, that a connection was registered.
	 */
	private final class RegistrationListener extends ChannelInboundHandlerAdapter {

		private final ChannelHandlerContext listening;

		RegistrationListener(ChannelHandlerContext listening) {
			this.listening = listening;
		}

		@Override
		public void channelRegistered(ChannelHandlerContext context) {
			EventLoop acceptor = this.listening.channel().eventLoop();
			// A scheduled task runs in the next turn, in which closed connections are
			// freed.
			context.channel()
				.eventLoop()
				.schedule(() -> acceptor.execute(() -> onRegistered(this.listening.channel())), 1,
						TimeUnit.MILLISECONDS);
			context.pipeline().remove(this);
			context.fireChannelRegistered();
		}

	}

}
