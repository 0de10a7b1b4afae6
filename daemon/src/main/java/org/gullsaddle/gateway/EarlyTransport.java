package org.gullsaddle.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.vertx.core.transport.Transport;

/**
 * NIO transport whose first server takes over the socket of an {@link EarlyListener}.
 */
public final class EarlyTransport implements Transport, io.vertx.core.spi.transport.Transport {

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

}
