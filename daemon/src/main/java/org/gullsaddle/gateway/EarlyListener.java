package org.gullsaddle.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

import io.netty.channel.socket.nio.NioServerSocketChannel;

import org.gullsaddle.base.Address;

/**
 * Listens for callers before the rest of the program is loaded.
 * <p>
 * A node that starts again needs half a second of its processor, and more than that of
 * time, until its server is there. Until then a caller's connection is refused, and when
 * all nodes start at once its one retry is refused as well. A bound socket costs a
 * fraction of that: the system completes connections in its backlog, and their requests
 * are read as soon as the server takes the socket over.
 *
 * <pre>
 * EarlyListener early = EarlyListener.bind(address);
 * Vertx vertx = Vertx.builder().withTransport(new EarlyTransport(early)).build();
 * </pre>
 */
public final class EarlyListener implements AutoCloseable {

	/** As many connections as a node's callers open in a second of a burst, and more. */
	static final int BACKLOG = 1024;

	private final ServerSocketChannel socket;

	private boolean taken;

	private EarlyListener(ServerSocketChannel socket) {
		this.socket = socket;
	}

	/**
	 * Begins to listen.
	 * @param address where callers connect
	 * @return the listener, which a server is to take over
	 * @throws IOException if the address cannot be had
	 */
	public static EarlyListener bind(Address address) throws IOException {
		ServerSocketChannel socket = ServerSocketChannel.open();
		try {
			socket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
			socket.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
			return new EarlyListener(socket);
		}
		catch (IOException ex) {
			socket.close();
			throw new IOException("cannot listen at " + address + ": " + ex.getMessage(), ex);
		}
	}

	/**
	 * Hands the socket to the first server that asks; later ones bind their own.
	 */
	synchronized NioServerSocketChannel takeChannel() {
		if (this.taken) {
			return new NioServerSocketChannel();
		}
		this.taken = true;
		return new BoundChannel(this.socket);
	}

	/**
	 * Stops listening, if no server took the socket over.
	 */
	@Override
	public synchronized void close() throws IOException {
		if (!this.taken) {
			this.taken = true;
			this.socket.close();
		}
	}

	/**
	 * A server's channel over a socket that listens already.
	 */
	private static final class BoundChannel extends NioServerSocketChannel {

		private final SocketAddress bound;

		BoundChannel(ServerSocketChannel socket) {
			super(socket);
			this.bound = socket.socket().getLocalSocketAddress();
		}

		@Override
		protected void doBind(SocketAddress address) throws IOException {
			if (!address.equals(this.bound)) {
				throw new IOException("the socket listens at " + this.bound + " already, not at " + address);
			}
		}

	}

}
