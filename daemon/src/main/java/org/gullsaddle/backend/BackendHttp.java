package org.gullsaddle.backend;

import java.net.URI;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientRequest;
import io.vertx.rxjava3.core.http.HttpClientResponse;

import org.gullsaddle.base.Verdict;
import org.gullsaddle.outbound.AnswerValidator;

/**
 * Calls a backend server over HTTP, and classifies a failed call by whether it may have
 * reached the server.
 */
final class BackendHttp {

	private static final int CONNECT_MILLIS = 1000;

	private static final int PROBE_MILLIS = 1000;

	private static final int SPARE_CONNECTIONS = 8;

	private static final int OK = 200;

	/** Largest answer to a request, in bytes. */
	private static final long MAX_ANSWER_BYTES = 64 << 20;

	/** Largest answer to a probe, in bytes. */
	private static final long MAX_PROBE_BYTES = 1 << 20;

	private final HttpClient client;

	private final HttpClient probeClient;

	private final URI url;

	BackendHttp(Vertx vertx, URI url, int slots) {
		this.url = url;
		// No pipelining and no reuse of connections: for a request written to a
		// connection
		// that the server is closing, it would be unknown whether it ran.
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS);
		this.client = HttpClient.newInstance(AnswerValidator.createClient(vertx.getDelegate(), options,
				new PoolOptions().setHttp1MaxSize(slots + SPARE_CONNECTIONS), MAX_ANSWER_BYTES));
		this.probeClient = HttpClient.newInstance(
				AnswerValidator.createClient(vertx.getDelegate(), options, new PoolOptions(), MAX_PROBE_BYTES));
	}

	Flowable<HttpClientResponse> send(HttpMethod method, String path, String contentType, String idempotencyKey,
			Buffer body) {
		RequestOptions options = options(method, path).putHeader("Content-Type", contentType);
		if (!idempotencyKey.isEmpty()) {
			options.putHeader("Idempotency-Key", idempotencyKey);
		}
		return Flowable.defer(() -> {
			HttpClientRequest[] sent = new HttpClientRequest[1];
			return this.client.rxRequest(options)
				.onErrorResumeNext((failure) -> Single.error(connectFailure(failure)))
				.flatMap((request) -> {
					sent[0] = request;
					return request.rxSend(body);
				})
				.onErrorResumeNext((failure) -> Single.error(toBackendException(failure)))
				.toFlowable()
				.concatWith(Flowable.never())
				.doOnCancel(() -> reset(sent[0]));
		});
	}

	Single<String> get(String path) {
		return this.probeClient.rxRequest(options(HttpMethod.GET, path))
			.flatMap((request) -> request.rxSend())
			.flatMap((response) -> (response.statusCode() == OK) ? response.rxBody()
					: Single
						.error(new BackendException("probe answered " + response.statusCode(), Verdict.NOT_RUN, null)))
			.map((body) -> body.toString())
			.timeout(PROBE_MILLIS, TimeUnit.MILLISECONDS);
	}

	static BackendException toBackendException(Throwable failure) {
		if (failure instanceof BackendException known) {
			return known;
		}
		return new BackendException(String.valueOf(failure.getMessage()), Verdict.MAY_HAVE_RUN, failure);
	}

	private static BackendException connectFailure(Throwable failure) {
		return new BackendException("cannot connect: " + failure.getMessage(), Verdict.NOT_RUN, failure);
	}

	private static void reset(HttpClientRequest request) {
		if (request != null) {
			request.reset();
		}
	}

	private RequestOptions options(HttpMethod method, String path) {
		return new RequestOptions().setMethod(method)
			.setHost(this.url.getHost())
			.setPort(this.url.getPort())
			.setURI(path);
	}

}
