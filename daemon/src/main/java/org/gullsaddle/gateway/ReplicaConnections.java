package org.gullsaddle.gateway;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;

import org.gullsaddle.fleet.Replica;

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

	private final HttpClientAgent client;

	private final Vertx vertx;

	ReplicaConnections(Vertx vertx) {
		this.vertx = vertx;
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
			.setTcpNoDelay(true)
			.setTcpKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setMaxChunkSize(65_536));
	}

	/**
	 * Opens a new connection.
	 * @param replica the replica to connect to
	 */
	Future<Channel> connect(Replica replica) {
		HttpConnectOptions options = new HttpConnectOptions()
			.setServer(SocketAddress.inetSocketAddress(replica.address().port(), replica.address().host()))
			.setHost(replica.address().host())
			.setPort(replica.address().port())
			.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
		return new ConnectionRace(this.vertx, () -> this.client.connect(options).map(Channel::new)).start();
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
