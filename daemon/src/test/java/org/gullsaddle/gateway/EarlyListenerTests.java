package org.gullsaddle.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class EarlyListenerTests {

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

	private final Address address = new Address("127.0.0.1", freePort());

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Guards against refused connections while the server is still loading: the request
	 * is answered once the server listens.
	 */
	@Test
	void requestSentBeforeTheServerListensIsAnswered() throws Exception {
		try (EarlyListener early = EarlyListener.bind(this.address);
				Socket caller = new Socket(this.address.host(), this.address.port())) {
			caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
			Vertx vertx = Vertx.builder().withTransport(new EarlyTransport(early)).build();
			try {
				vertx.createHttpServer()
					.requestHandler((request) -> request.response().end("here"))
					.listen(this.address.port(), this.address.host());
				BufferedReader answer = new BufferedReader(new InputStreamReader(caller.getInputStream()));
				assertThat(answer.readLine()).isEqualTo("HTTP/1.1 200 OK");
			}
			finally {
				vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
			}
		}
	}

	@Test
	void serversAfterTheFirstBindTheirOwnSockets() throws Exception {
		try (EarlyListener early = EarlyListener.bind(this.address)) {
			Vertx vertx = Vertx.builder().withTransport(new EarlyTransport(early)).build();
			try {
				for (int port : new int[] { this.address.port(), freePort() }) {
					int bound = vertx.createHttpServer()
						.requestHandler((request) -> request.response().end())
						.listen(port, this.address.host())
						.toCompletionStage()
						.toCompletableFuture()
						.get(10, TimeUnit.SECONDS)
						.actualPort();
					assertThat(bound).isEqualTo(port);
				}
			}
			finally {
				vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
			}
		}
	}

	@Test
	void addressInUseIsNamedInTheError() throws Exception {
		try (EarlyListener early = EarlyListener.bind(this.address)) {
			assertThatThrownBy(() -> EarlyListener.bind(this.address)).isInstanceOf(IOException.class)
				.hasMessageContaining(this.address.toString());
		}
	}

}
