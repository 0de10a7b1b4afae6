package org.gullsaddle.gateway;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.SocketAddress;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Pool of connections to replicas. A connection carries one request at a time.
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

	private static final int MAX_IDLE_PER_REPLICA = 16;

	/** Time for the rest of an answer that nobody needs, in milliseconds. */
	private static final long MAX_DRAIN_MILLIS = 300;

	/** Largest rest of an answer that nobody needs, in bytes. */
	private static final long MAX_DRAIN_BYTES = 16_384;

	private final Vertx vertx;

	private final HttpClientAgent client;

	private final Map<ReplicaId, Deque<Channel>> idle = new HashMap<>();

	ChannelPool(Vertx vertx) {
		this.vertx = vertx;
		this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
			.setTcpNoDelay(true)
			.setTcpKeepAlive(true)
			.setPipelining(false)
			.setDecompressionSupported(false)
			.setMaxChunkSize(65_536));
	}

	/**
	 * Returns a connection without a request on it.
	 * @param replica the replica to connect to
	 * @param fresh whether it must be new, so that the request is not lost on an idle
	 * connection that is just being closed
	 */
	Future<Channel> acquire(Replica replica, boolean fresh) {
		Deque<Channel> idleChannels = this.idle.get(replica.id());
		while (!fresh && idleChannels != null && !idleChannels.isEmpty()) {
			Channel channel = idleChannels.pollLast();
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
	 * Returns whether connecting failed because nothing listens at the address. A timeout
	 * says nothing about the replica.
	 * @param failure why connecting failed
	 */
	static boolean isConnectionRefused(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	/**
	 * Returns a connection to the pool after a complete answer.
	 * @param channel the connection
	 * @param keepAliveMillis how long the replica keeps it open, in milliseconds
	 */
	void release(Channel channel, long keepAliveMillis) {
		channel.answers++;
		Deque<Channel> idleChannels = this.idle.computeIfAbsent(channel.replica.id(), (id) -> new ArrayDeque<>());
		if (channel.closed || idleChannels.size() >= MAX_IDLE_PER_REPLICA || keepAliveMillis <= 0) {
			channel.close();
			return;
		}
		channel.idleUntil = MonotonicClock.millis() + Math.min(MAX_IDLE_MILLIS, keepAliveMillis / 2);
		idleChannels.addLast(channel);
	}

	/**
	 * Returns a connection to the pool once the rest of an answer, which nobody needs,
	 * has arrived. If the rest is long or takes long, the connection is closed.
	 * @param channel the connection
	 * @param response the answer, of whose body nothing was read yet
	 * @param keepAliveMillis how long the replica keeps the connection open, in
	 * milliseconds, 0 if it closes it
	 */
	void drain(Channel channel, HttpClientResponse response, long keepAliveMillis) {
		long timer = this.vertx.setTimer(MAX_DRAIN_MILLIS, (id) -> channel.close());
		AtomicLong bytes = new AtomicLong();
		response.handler((part) -> {
			if (bytes.addAndGet(part.length()) > MAX_DRAIN_BYTES) {
				channel.close();
			}
		});
		response.exceptionHandler((failure) -> {
			this.vertx.cancelTimer(timer);
			channel.close();
		});
		response.endHandler((nothing) -> {
			this.vertx.cancelTimer(timer);
			release(channel, keepAliveMillis);
		});
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

		/** Complete answers that it carried. */
		private int answers;

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
		 * Returns how many complete answers it carried.
		 */
		int answers() {
			return this.answers;
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
