package org.gullsaddle.outbound;

import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.impl.ConnectionBase;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.rxjava3.ext.web.client.WebClient;

/**
 * Validates answers of servers that are not trusted. An answer that is not HTTP fails,
 * and nothing of it is passed on: the HTTP decoder by itself would skip or strip what
 * does not belong there.
 *
 * <pre>
 * HttpClient client = AnswerValidator.createClient(vertx, options, new PoolOptions(), 65_536);
 * </pre>
 */
public final class AnswerValidator {

	/** Largest body of a client that bounds what it holds by itself. */
	public static final long UNLIMITED = Long.MAX_VALUE;

	private AnswerValidator() {
	}

	/**
	 * Creates a client that validates all answers. It uses each connection once.
	 * @param vertx the Vert.x instance
	 * @param options the client's options
	 * @param poolOptions how many connections may be open
	 * @param maxBodyBytes the largest body that is read, with its framing, in bytes
	 * @return the client
	 */
	public static HttpClient createClient(Vertx vertx, HttpClientOptions options, PoolOptions poolOptions,
			long maxBodyBytes) {
		return vertx.httpClientBuilder()
			.with(new HttpClientOptions(options).setKeepAlive(false))
			.with(poolOptions)
			.withConnectHandler((connection) -> install(connection, maxBodyBytes))
			.build();
	}

	/**
	 * Creates a web client that validates all answers. It uses each connection once.
	 * @param vertx the Vert.x instance
	 * @param options the client's options
	 * @param maxBodyBytes the largest body that is read, with its framing, in bytes
	 * @return the client
	 */
	public static WebClient createWebClient(io.vertx.rxjava3.core.Vertx vertx, WebClientOptions options,
			long maxBodyBytes) {
		HttpClient client = createClient(vertx.getDelegate(), options, new PoolOptions(), maxBodyBytes);
		return WebClient.wrap(io.vertx.rxjava3.core.http.HttpClient.newInstance(client), options);
	}

	/**
	 * Validates the answer on a connection, which must not carry a second request.
	 * @param connection a connection of an HTTP/1.1 client, on which nothing was sent yet
	 */
	public static void install(HttpConnection connection) {
		install(connection, UNLIMITED);
	}

	private static void install(HttpConnection connection, long maxBodyBytes) {
		ChannelHandlerContext client = ((ConnectionBase) connection).channelHandlerContext();
		RequestProgress request = new RequestProgress();
		client.pipeline().addFirst(new AnswerHandler(request, maxBodyBytes));
		client.pipeline().addBefore(client.name(), null, request);
	}

}
