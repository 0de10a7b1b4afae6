package org.gullsaddle.gateway;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Connections to replicas. Each request of a caller gets a new connection: bytes that a
 * replica sends after an answer belong to no request, but on a connection that is used
 * again the HTTP decoder takes them for the beginning of the next answer. Connections
 * that have carried an answer are used for load reports only, which reach no caller.
 */
final class ChannelPool {

	/**
	 * Time to open a connection, in milliseconds; other regions are up to 60 ms away.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	/**
	 * How long an idle connection stays usable, in milliseconds. Replicas close idle
	 * connections, some without announcing a timeout; a connection that is reused soon is
	 * rarely affected.
	 */
	private static final long MAX_IDLE_MILLIS = 2500;

	private static final int MAX_IDLE_PER_REPLICA = 2;

	private final HttpClientAgent client;

	private final Map<ReplicaId, Deque<Channel>> idle = new HashMap<>();

	ChannelPool(Vertx vertx) {
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
			.setTcpNoDelay(true)
			.setTcpKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setMaxChunkSize(65_536));
	}

	/**
	 * Returns a connection for a load report, an idle one if there is any.
	 * @param replica the replica to connect to
	 */
	Future<Channel> acquireForReport(Replica replica) {
		Deque<Channel> idleChannels = this.idle.get(replica.id());
		while (idleChannels != null && !idleChannels.isEmpty()) {
			Channel channel = idleChannels.pollLast();
			if (channel.isUsable(replica, MonotonicClock.millis())) {
				return Future.succeededFuture(channel);
			}
			channel.close();
		}
		return connect(replica);
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
		return this.client.connect(options).map((connection) -> new Channel(replica, connection));
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
	 * Keeps a connection for load reports after a complete answer.
	 * @param channel the connection
	 * @param keepAliveMillis how long the replica keeps it open, in milliseconds
	 */
	void keepForReports(Channel channel, long keepAliveMillis) {
		Deque<Channel> idleChannels = this.idle.computeIfAbsent(channel.replica.id(), (id) -> new ArrayDeque<>());
		if (channel.closed || idleChannels.size() >= MAX_IDLE_PER_REPLICA || keepAliveMillis <= 0) {
			channel.close();
			return;
		}
		channel.idleUntil = MonotonicClock.millis() + Math.min(MAX_IDLE_MILLIS, keepAliveMillis / 2);
		idleChannels.addLast(channel);
	}

	/**
	 * Closes idle connections that have expired or whose replica is no longer listed.
	 * @param known the replicas that are still listed
	 */
	void closeExpired(Set<ReplicaId> known) {
		for (ReplicaId id : new HashSet<>(this.idle.keySet())) {
			Deque<Channel> idleChannels = this.idle.get(id);
			idleChannels.removeIf((channel) -> {
				boolean expired = channel.closed || MonotonicClock.millis() > channel.idleUntil || !known.contains(id);
				if (expired) {
					channel.close();
				}
				return expired;
			});
			if (idleChannels.isEmpty()) {
				this.idle.remove(id);
			}
		}
	}

	/**
	 * Connection to one replica.
	 */
	static final class Channel {

		private final Replica replica;

		private final HttpClientConnection connection;

		private boolean closed;

		private boolean failed;

		private long idleUntil;

		Channel(Replica replica, HttpClientConnection connection) {
			this.replica = replica;
			this.connection = connection;
			connection.closeHandler((nothing) -> this.closed = true);
			connection.exceptionHandler((failure) -> {
				this.failed = true;
				this.closed = true;
			});
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

		boolean isUsable(Replica now, long time) {
			return !this.closed && time <= this.idleUntil && this.replica.isSameProcess(now);
		}

		void close() {
			this.closed = true;
			this.connection.close();
		}

	}

}
