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
 * A restarting node needs half a second of processor time, and longer in real time, until
 * its server runs. Until then callers' connections would be refused, and if all nodes
 * start at once, so would a caller's single retry. Binding a socket costs a fraction of
 * that: the system accepts connections into the backlog, and their requests are read as
 * soon as the server takes over the socket.
 *
 * <pre>
 * EarlyListener early = EarlyListener.bind(address);
 * Vertx vertx = Vertx.builder().withTransport(new EarlyTransport(early)).build();
 * </pre>
 */
public final class EarlyListener implements AutoCloseable {

	/**
	 * Exceeds the connections that callers open to a node in one second of a burst.
	 */
	static final int BACKLOG = 1024;

	private final ServerSocketChannel socket;

	private boolean taken;

	private EarlyListener(ServerSocketChannel socket) {
		this.socket = socket;
	}

	/**
	 * Binds a socket and starts to listen.
	 * @param address where callers connect
	 * @return the listener, to be taken over by a server
	 * @throws IOException if the address cannot be bound
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
	 * Returns a channel over the socket for the first server; later servers bind their
	 * own.
	 */
	synchronized NioServerSocketChannel takeChannel() {
		if (this.taken) {
			return new NioServerSocketChannel();
		}
		this.taken = true;
		return new BoundChannel(this.socket);
	}

	/**
	 * Closes the socket unless a server has taken it over.
	 */
	@Override
	public synchronized void close() throws IOException {
		if (!this.taken) {
			this.taken = true;
			this.socket.close();
		}
	}

	/**
	 * Server channel over a socket that already listens.
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
