package org.gullsaddle.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;

import org.gullsaddle.inbound.AcceptLimiter;

/**
 * NIO transport whose first server takes over the socket of an {@link EarlyListener}, and
 * whose connections take turns in reading.
 */
public final class EarlyTransport implements Transport, io.vertx.core.spi.transport.Transport {

	/** What is read of one connection in one turn of the event loop, in bytes. */
	static final int READ_BYTES = 16_384;

	private final io.vertx.core.spi.transport.Transport jdk = Transport.NIO.implementation();

	private final EarlyListener early;

	/**
	 * Creates a transport.
	 * @param early the listener that the first server takes over
	 */
	public EarlyTransport(EarlyListener early) {
		this.early = early;
	}

	@Override
	public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
		return domainSocket ? this.jdk.serverChannelFactory(true) : this.early::takeChannel;
	}

	@Override
	public String name() {
		return Transport.NIO.name();
	}

	@Override
	public boolean available() {
		return true;
	}

	@Override
	public Throwable unavailabilityCause() {
		return null;
	}

	@Override
	public io.vertx.core.spi.transport.Transport implementation() {
		return this;
	}

	@Override
	public IoHandlerFactory ioHandlerFactory() {
		return this.jdk.ioHandlerFactory();
	}

	@Override
	public DatagramChannel datagramChannel() {
		return this.jdk.datagramChannel();
	}

	@Override
	public DatagramChannel datagramChannel(InternetProtocolFamily family) {
		return this.jdk.datagramChannel(family);
	}

	@Override
	public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
		return this.jdk.channelFactory(domainSocket);
	}

	@Override
	public void configure(ClientOptionsBase options, int connectTimeout, boolean domainSocket, Bootstrap bootstrap) {
		this.jdk.configure(options, connectTimeout, domainSocket, bootstrap);
		bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, oneReadATurn());
	}

	@Override
	public void configure(NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
		this.jdk.configure(options, domainSocket, bootstrap);
		bootstrap.handler(new AcceptLimiter());
		bootstrap.childOption(ChannelOption.RECVBUF_ALLOCATOR, oneReadATurn());
	}

	/**
	 * A connection that always has more to read would otherwise keep the event loop for
	 * up to a megabyte a turn, and all others would wait.
	 */
	private static RecvByteBufAllocator oneReadATurn() {
		return new FixedRecvByteBufAllocator(READ_BYTES).maxMessagesPerRead(1);
	}

}
