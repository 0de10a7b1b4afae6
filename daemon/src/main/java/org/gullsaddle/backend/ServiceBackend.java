package org.gullsaddle.backend;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.rxjava3.core.http.HttpClientResponse;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Json;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.ServiceCall;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

/**
 * A client of a plain service; calls are passed through unchanged.
 */
final class ServiceBackend implements Backend {

	private static final int MAX_BODY_BYTES = 1 << 20;

	private final BackendHttp http;

	private final Set<ModelVersion> versions;

	ServiceBackend(BackendHttp http, List<ModelVersion> versions) {
		this.http = http;
		this.versions = Set.copyOf(versions);
	}

	@Override
	public Flowable<BackendEvent> run(Dispatch dispatch) {
		return Flowable.defer(() -> {
			ServiceCall call = Json.read(dispatch.body(), ServiceCall.class);
			Buffer body = Buffer.buffer(call.body().getBytes(StandardCharsets.ISO_8859_1));
			return this.http
				.send(HttpMethod.valueOf(call.method()), call.path(), call.contentType(), call.idempotencyKey(), body)
				.concatMap(ServiceBackend::toEvents)
				.takeUntil((event) -> event instanceof BackendEvent.End);
		}).onErrorResumeNext((failure) -> Flowable.error(BackendHttp.toBackendException(failure)));
	}

	@Override
	public Single<Set<ModelVersion>> probe() {
		return this.http.get("/health").map((body) -> this.versions);
	}

	private static Flowable<BackendEvent> toEvents(HttpClientResponse response) {
		String contentType = response.getHeader("Content-Type");
		return response.rxBody().flatMapPublisher((body) -> {
			if (body.length() > MAX_BODY_BYTES) {
				return Flowable.error(new BackendException("the answer is larger than " + MAX_BODY_BYTES + " bytes",
						Verdict.MAY_HAVE_RUN, null));
			}
			Completion completion = new Completion(response.statusCode(),
					(contentType != null) ? contentType : "application/octet-stream", "", Usage.NONE);
			BackendEvent end = new BackendEvent.End(completion);
			return (body.length() == 0) ? Flowable.just(end)
					: Flowable.just(new BackendEvent.Chunk(body.toString(StandardCharsets.ISO_8859_1)), end);
		});
	}

}
