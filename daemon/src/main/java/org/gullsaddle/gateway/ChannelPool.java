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
 * The connections to replicas. Each carries one request at a time.
 */
final class ChannelPool {

	/**
	 * How long a new connection may take, in milliseconds; far regions are 60 ms away.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	/**
	 * How long an idle connection is used again at most, in milliseconds. Replicas close
	 * idle connections, some without telling; one that is used soon is rarely caught by
	 * that.
	 */
	private static final long MAX_IDLE_MILLIS = 2500;

	private static final int MAX_IDLE_PER_REPLICA = 16;

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
	 * Returns a connection that carries nothing.
	 * @param replica where to
	 * @param fresh whether it must be new, so that no idle one that is just being closed
	 * can swallow the request
	 */
	Future<Channel> acquire(Replica replica, boolean fresh) {
		Deque<Channel> kept = this.idle.get(replica.id());
		while (!fresh && kept != null && !kept.isEmpty()) {
			Channel channel = kept.pollLast();
			if (channel.isUsable(replica, MonotonicClock.millis())) {
				return Future.succeededFuture(channel);
			}
			channel.close();
		}
		HttpConnectOptions options = new HttpConnectOptions()
			.setServer(SocketAddress.inetSocketAddress(replica.address().port(), replica.address().host()))
			.setHost(replica.address().host())
			.setPort(replica.address().port())
			.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
		return this.client.connect(options).map((connection) -> new Channel(replica, connection));
	}

	/**
	 * Says whether a connection could not be had as nothing listens there. One that is
	 * not answered at all tells nothing of the replica.
	 * @param failure why it could not be had
	 */
	static boolean isConnectionRefused(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	/**
	 * Takes a connection back after a whole answer.
	 * @param channel the connection
	 * @param keepMillis how long the replica keeps it, in milliseconds
	 */
	void release(Channel channel, long keepMillis) {
		Deque<Channel> kept = this.idle.computeIfAbsent(channel.replica.id(), (id) -> new ArrayDeque<>());
		if (channel.closed || kept.size() >= MAX_IDLE_PER_REPLICA || keepMillis <= 0) {
			channel.close();
			return;
		}
		channel.idleUntil = MonotonicClock.millis() + Math.min(MAX_IDLE_MILLIS, keepMillis / 2);
		kept.addLast(channel);
	}

	/**
	 * Closes idle connections that are not to be used any more.
	 * @param known the replicas that are still listed
	 */
	void closeExpired(Set<ReplicaId> known) {
		for (ReplicaId id : new HashSet<>(this.idle.keySet())) {
			Deque<Channel> kept = this.idle.get(id);
			kept.removeIf((channel) -> {
				boolean over = channel.closed || MonotonicClock.millis() > channel.idleUntil || !known.contains(id);
				if (over) {
					channel.close();
				}
				return over;
			});
			if (kept.isEmpty()) {
				this.idle.remove(id);
			}
		}
	}

	/**
	 * One connection.
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
		 * Says whether the connection ended by a failure, such as a reset.
		 */
		boolean hasFailed() {
			return this.failed;
		}

		boolean isUsable(Replica now, long time) {
			return !this.closed && time <= this.idleUntil && this.replica.sameProcess(now);
		}

		void close() {
			this.closed = true;
			this.connection.close();
		}

	}

}
