package org.gullsaddle.cli;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;

/**
 * Calls the admin interface of an entry.
 */
final class AdminClient implements AutoCloseable {

	private static final long TIMEOUT_SECONDS = 30;

	private static final int ERRORS = 400;

	private final Vertx vertx = Vertx.vertx();

	private final WebClient client = WebClient.create(this.vertx);

	private final URI admin;

	private final String key;

	AdminClient(URI admin, String key) {
		this.admin = admin;
		this.key = key;
	}

	JsonObject get(String path) throws CommandException {
		return call(HttpMethod.GET, path, Buffer.buffer()).bodyAsJsonObject();
	}

	String text(String path) throws CommandException {
		return call(HttpMethod.GET, path, Buffer.buffer()).bodyAsString(StandardCharsets.UTF_8.name());
	}

	JsonObject put(String path, String text) throws CommandException {
		return call(HttpMethod.PUT, path, Buffer.buffer(text)).bodyAsJsonObject();
	}

	JsonObject post(String path, JsonObject body) throws CommandException {
		return call(HttpMethod.POST, path, body.toBuffer()).bodyAsJsonObject();
	}

	@Override
	public void close() {
		this.vertx.close();
	}

	private HttpResponse<Buffer> call(HttpMethod method, String path, Buffer body) throws CommandException {
		HttpRequest<Buffer> request = this.client.requestAbs(method, this.admin.resolve("/admin/v1/" + path).toString())
			.putHeader("Authorization", "Bearer " + this.key);
		try {
			HttpResponse<Buffer> response = ((body.length() > 0) ? request.sendBuffer(body) : request.send())
				.toCompletionStage()
				.toCompletableFuture()
				.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			if (response.statusCode() >= ERRORS) {
				throw failure(response);
			}
			return response;
		}
		catch (ExecutionException ex) {
			throw new CommandException(ExitCode.FAILED,
					"cannot reach " + this.admin + ": " + ex.getCause().getMessage());
		}
		catch (TimeoutException ex) {
			throw new CommandException(ExitCode.UNKNOWN_OUTCOME,
					"no answer from " + this.admin + " within " + TIMEOUT_SECONDS + " s");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new CommandException(ExitCode.UNKNOWN_OUTCOME, "interrupted");
		}
	}

	private static CommandException failure(HttpResponse<Buffer> response) {
		JsonObject body;
		try {
			body = response.bodyAsJsonObject();
		}
		catch (DecodeException ex) {
			body = null;
		}
		if (body == null) {
			return new CommandException(ExitCode.FAILED, "the entry answered " + response.statusCode());
		}
		StringBuilder message = new StringBuilder(body.getString("error", "the entry refused"));
		for (Object each : body.getJsonArray("problems", new JsonArray())) {
			JsonObject problem = (JsonObject) each;
			message.append("\n  line ")
				.append(problem.getInteger("line"))
				.append(": ")
				.append(problem.getString("path"))
				.append(": ")
				.append(problem.getString("reason"));
		}
		boolean unknown = "unknown".equals(body.getString("outcome"));
		return new CommandException(unknown ? ExitCode.UNKNOWN_OUTCOME : code(response.statusCode()),
				message.toString());
	}

	private static ExitCode code(int status) {
		return switch (status) {
			case 400 -> ExitCode.WRONG_USE;
			case 401, 403 -> ExitCode.NOT_ALLOWED;
			case 404 -> ExitCode.NOT_FOUND;
			case 409 -> ExitCode.CONFLICT;
			case 422 -> ExitCode.INVALID;
			default -> ExitCode.FAILED;
		};
	}

}
