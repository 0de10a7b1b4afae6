package org.gullsaddle.entry;

import java.nio.charset.StandardCharsets;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.Verdict;

/**
 * Returns a service's answer to the caller as one body. State is confined to the
 * request's Vert.x context.
 */
final class ServiceResponse implements CallerResponse {

	private final Exchange exchange;

	private final Context context;

	private final StringBuilder collectedText = new StringBuilder();

	ServiceResponse(Exchange exchange, Context context) {
		this.exchange = exchange;
		this.context = context;
	}

	@Override
	public void deliver(ModelVersion version, String text, Runnable taken) {
		this.context.runOnContext((ignored) -> {
			this.collectedText.append(text);
			taken.run();
		});
	}

	@Override
	public void complete(String servedBy, Completion completion, long costMicros) {
		this.context.runOnContext((ignored) -> {
			HttpServerResponse response = this.exchange.context().response();
			response.setStatusCode(completion.status())
				.putHeader("Content-Type", completion.contentType())
				.putHeader(Headers.REQUEST_ID, this.exchange.id().value())
				.putHeader(Headers.SERVED_BY, servedBy)
				.putHeader(Headers.VERDICT, Verdict.RAN.toString())
				.putHeader(Headers.COST, String.valueOf(costMicros))
				.end(Buffer.buffer(this.collectedText.toString().getBytes(StandardCharsets.ISO_8859_1)));
		});
	}

	@Override
	public void refuse(Refusal refusal) {
		this.context.runOnContext((ignored) -> RefusalWriter.write(this.exchange, refusal, ""));
	}

}
