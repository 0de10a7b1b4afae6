package org.gullsaddle.store;

import java.net.ConnectException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.core.http.HttpClient;
import io.vertx.rxjava3.core.http.HttpClientResponse;
import io.vertx.rxjava3.core.parsetools.RecordParser;
import io.vertx.rxjava3.ext.web.client.HttpResponse;
import io.vertx.rxjava3.ext.web.client.WebClient;

import org.gullsaddle.outbound.AnswerValidator;

/**
 * The store by etcd's JSON interface. Thread-safe. Each call has a connection of its own:
 * nothing in an answer names its call, so what follows a whole answer would become the
 * beginning of the next one.
 */
public final class EtcdStore implements Store {

	private static final int OK = 200;

	private static final int TOO_MANY_REQUESTS = 429;

	/** Largest answer, and largest message of a watch, in bytes. */
	private static final int MAX_ANSWER_BYTES = 16 << 20;

	private final WebClient client;

	private final HttpClient watchClient;

	private final URI url;

	private final long timeoutMillis;

	/**
	 * Makes a client.
	 * @param vertx where to run
	 * @param url the store's address
	 * @param timeoutMillis how long a call may take, in milliseconds
	 */
	public EtcdStore(Vertx vertx, URI url, long timeoutMillis) {
		this.url = url;
		this.timeoutMillis = timeoutMillis;
		WebClientOptions options = new WebClientOptions().setDefaultHost(url.getHost())
			.setDefaultPort(url.getPort())
			.setConnectTimeout((int) timeoutMillis);
		this.client = AnswerValidator.createWebClient(vertx, options, MAX_ANSWER_BYTES);
		this.watchClient = HttpClient.newInstance(AnswerValidator.createClient(vertx.getDelegate(),
				new HttpClientOptions(), new PoolOptions(), AnswerValidator.UNLIMITED));
	}

	@Override
	public Single<Optional<StoredValue>> get(String key) {
		return call("/v3/kv/range", new JsonObject().put("key", encode(key)))
			.map((answer) -> values(answer).stream().findFirst());
	}

	@Override
	public Single<Listing> list(String prefix, String after, int limit) {
		String from = after.isEmpty() ? prefix : after + "\0";
		JsonObject body = new JsonObject().put("key", encode(from))
			.put("range_end", encode(end(prefix)))
			.put("limit", String.valueOf(limit));
		return call("/v3/kv/range", body).map((answer) -> new Listing(values(answer),
				Long.parseLong(answer.getJsonObject("header").getString("revision")),
				answer.getBoolean("more", false)));
	}

	@Override
	public Single<Optional<Long>> write(String guard, long expectedRevision, List<Put> puts) {
		JsonArray operations = new JsonArray();
		for (Put put : puts) {
			operations.add(new JsonObject().put("request_put",
					new JsonObject().put("key", encode(put.key())).put("value", encode(put.value()))));
		}
		JsonObject compare = new JsonObject().put("key", encode(guard))
			.put("target", "MOD")
			.put("result", "EQUAL")
			.put("mod_revision", String.valueOf(expectedRevision));
		JsonObject body = new JsonObject().put("compare", new JsonArray().add(compare)).put("success", operations);
		return call("/v3/kv/txn", body).map((answer) -> answer.getBoolean("succeeded", false)
				? Optional.of(Long.parseLong(answer.getJsonObject("header").getString("revision")))
				: Optional.<Long>empty());
	}

	@Override
	public Flowable<StoredValue> watch(String prefix, long fromRevision) {
		JsonObject create = new JsonObject().put("key", encode(prefix))
			.put("range_end", encode(end(prefix)))
			.put("start_revision", String.valueOf(fromRevision));
		String body = new JsonObject().put("create_request", create).encode();
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.POST)
			.setHost(this.url.getHost())
			.setPort(this.url.getPort())
			.setURI("/v3/watch")
			.setConnectTimeout(this.timeoutMillis);
		return this.watchClient.rxRequest(options)
			.flatMap((request) -> request.rxSend(body))
			.flatMapPublisher(EtcdStore::lines)
			.concatMapIterable((line) -> changes(new JsonObject(line)))
			.onErrorResumeNext((failure) -> Flowable.error(failure(failure, false)));
	}

	private static Flowable<String> lines(HttpClientResponse response) {
		if (response.statusCode() != OK) {
			return Flowable.error(new StoreException("watch answered " + response.statusCode(), false, null));
		}
		return RecordParser.newDelimited("\n", response.toFlowable())
			.maxRecordSize(MAX_ANSWER_BYTES)
			.toFlowable()
			.map((buffer) -> buffer.toString(StandardCharsets.UTF_8));
	}

	private static List<StoredValue> changes(JsonObject message) {
		List<StoredValue> changes = new ArrayList<>();
		JsonObject result = message.getJsonObject("result", new JsonObject());
		for (Object each : result.getJsonArray("events", new JsonArray())) {
			JsonObject event = (JsonObject) each;
			if (!"DELETE".equals(event.getString("type"))) {
				changes.add(value(event.getJsonObject("kv")));
			}
		}
		return changes;
	}

	private Single<JsonObject> call(String path, JsonObject body) {
		return this.client.post(path)
			.rxSendJsonObject(body)
			.timeout(this.timeoutMillis, TimeUnit.MILLISECONDS)
			.onErrorResumeNext((failure) -> Single.error(failure(failure, true)))
			.flatMap(EtcdStore::check);
	}

	private static Single<JsonObject> check(HttpResponse<Buffer> response) {
		if (response.statusCode() == OK) {
			return Single.just(response.bodyAsJsonObject());
		}
		boolean unknown = response.statusCode() != TOO_MANY_REQUESTS;
		return Single.error(new StoreException("store answered " + response.statusCode(), unknown, null));
	}

	private static StoreException failure(Throwable failure, boolean unknown) {
		if (failure instanceof StoreException known) {
			return known;
		}
		boolean refused = failure instanceof ConnectException;
		return new StoreException("store: " + failure.getMessage(), unknown && !refused, failure);
	}

	private static List<StoredValue> values(JsonObject answer) {
		List<StoredValue> values = new ArrayList<>();
		for (Object each : answer.getJsonArray("kvs", new JsonArray())) {
			values.add(value((JsonObject) each));
		}
		return values;
	}

	private static StoredValue value(JsonObject kv) {
		return new StoredValue(decode(kv.getString("key")), decode(kv.getString("value", "")),
				Long.parseLong(kv.getString("mod_revision")));
	}

	/**
	 * Returns the first key after all that start with a prefix.
	 */
	private static String end(String prefix) {
		int last = prefix.length() - 1;
		return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String base64) {
		return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
	}

}
