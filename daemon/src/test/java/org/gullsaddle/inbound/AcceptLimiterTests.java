package org.gullsaddle.inbound;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class AcceptLimiterTests {

	private static final int CLIENTS = 300;

	/** What the limiter allows, and a batch that was accepted before it stopped. */
	private static final int MAX_WAITING = 64 + 16;

	private final EventLoopGroup acceptor = group();

	private final EventLoopGroup serving = group();

	private final AtomicInteger accepted = new AtomicInteger();

	private final CountDownLatch served = new CountDownLatch(CLIENTS);

	/** Keeps the serving event loop busy until it is released. */
	private final CountDownLatch busy = new CountDownLatch(1);

	private final List<Socket> clients = new ArrayList<>();

	private static EventLoopGroup group() {
		return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
	}

	@AfterEach
	void close() throws Exception {
		this.busy.countDown();
		for (Socket client : this.clients) {
			client.close();
		}
		this.serving.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
		this.acceptor.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
	}

	private InetSocketAddress listen() throws Exception {
		ServerBootstrap server = new ServerBootstrap().group(this.acceptor, this.serving)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, 2 * CLIENTS)
			.handler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel listening) {
					listening.pipeline().addLast(new AcceptLimiter(), new AcceptCounter());
				}
			})
			.childHandler(new ChannelInitializer<>() {
				@Override
				protected void initChannel(Channel connection) {
					AcceptLimiterTests.this.served.countDown();
				}
			});
		Channel listening = server.bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
		return (InetSocketAddress) listening.localAddress();
	}

	/**
	 * Guards against connections that wait for the event loop without a limit, before
	 * anything counts them.
	 */
	@Test
	void fewConnectionsWaitForABusyEventLoop() throws Exception {
		InetSocketAddress address = listen();
		this.serving.execute(this::awaitRelease);
		for (int client = 0; client < CLIENTS; client++) {
			this.clients.add(new Socket(address.getAddress(), address.getPort()));
		}
		Thread.sleep(500);
		assertThat(this.accepted).hasValueLessThanOrEqualTo(MAX_WAITING);
		this.busy.countDown();
		assertThat(this.served.await(20, TimeUnit.SECONDS)).isTrue();
		assertThat(this.accepted).hasValue(CLIENTS);
	}

	private void awaitRelease() {
		try {
			this.busy.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private final class AcceptCounter extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			AcceptLimiterTests.this.accepted.incrementAndGet();
			context.fireChannelRead(message);
		}

	}

}
