package org.gullsaddle.gateway;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpChannelConnector;
import io.vertx.core.http.impl.HttpClientConnectionInternal;
import io.vertx.core.http.impl.HttpClientImpl;
import io.vertx.core.http.impl.UnpooledHttpClientConnection;
import io.vertx.core.internal.VertxInternal;
import io.vertx.core.net.HostAndPort;
import io.vertx.core.net.SocketAddress;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.outbound.AnswerValidator;

/**
 * Opens connections to replicas. Each attempt and each load report gets one of its own:
 * bytes that a replica sends after an answer belong to no request, but on a connection
 * that is used again the HTTP decoder takes them for the beginning of the next answer.
 */
final class ReplicaConnections {

	/**
	 * Time to open a connection, in milliseconds; other regions are up to 60 ms away.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private final HttpClientImpl client;

	private final VertxInternal vertx;

	ReplicaConnections(Vertx vertx) {
		this.vertx = (VertxInternal) vertx;
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
			.setTcpNoDelay(true)
			.setTcpKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setMaxChunkSize(65_536);
		this.client = new HttpClientImpl(this.vertx, null, options, new PoolOptions());
	}

	/**
	 * Opens a new connection.
	 * @param replica the replica to connect to
	 */
	Future<Channel> connect(Replica replica) {
		return new ConnectionRace(this.vertx, () -> open(replica.address()).map(Channel::new)).start();
	}

	/**
	 * Opens a connection as {@code HttpClientAgent.connect} does, which gives no access
	 * to the channel's pipeline.
	 */
	private Future<HttpClientConnection> open(Address address) {
		HttpChannelConnector connector = new HttpChannelConnector(this.client, this.client.netClient(), null, null,
				null, HttpVersion.HTTP_1_1, false, false, HostAndPort.create(address.host(), address.port()),
				SocketAddress.inetSocketAddress(address.port(), address.host()), false, 0);
		return connector.httpConnect(this.vertx.getOrCreateContext()).map(ReplicaConnections::validated);
	}

	private static HttpClientConnection validated(HttpClientConnectionInternal connection) {
		// The default logs a warning for a pool that the connection is not in.
		connection.evictionHandler((nothing) -> {
		});
		AnswerValidator.install(connection);
		return new UnpooledHttpClientConnection(connection);
	}

	/**
	 * Returns whether connecting failed because nothing listens at the address. A timeout
	 * says nothing about the replica.
	 * @param failure why connecting failed
	 */
	static boolean isConnectionRefused(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	/**
	 * Connection to one replica.
	 */
	static final class Channel {

		private final HttpClientConnection connection;

		private boolean failed;

		Channel(HttpClientConnection connection) {
			this.connection = connection;
			connection.exceptionHandler((failure) -> this.failed = true);
		}

		HttpClientConnection connection() {
			return this.connection;
		}

		/**
		 * Returns whether the connection ended with an error, such as a reset.
		 */
		boolean hasFailed() {
			return this.failed;
		}

		void close() {
			this.connection.close();
		}

	}

}
