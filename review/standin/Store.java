import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Stands in for the platform's store, as PROTOCOL.md tells it. It can fall silent. */
final class Store {

	private final TreeMap<String, JsonObject> items = new TreeMap<>();

	private final List<JsonObject> history = new ArrayList<>();

	private long revision = 1;

	private volatile boolean silent;

	private long watchesAnswered;

	private ServerSocket server;

	int listen() throws Exception {
		this.server = Http.serve(0, this::handle);
		return this.server.getLocalPort();
	}

	/** Whether calls are read and never answered, as while the store is down (silent). */
	void silent(boolean now) {
		this.silent = now;
	}

	/** Writes a value as the operator, a replica or another writer does. */
	synchronized long put(String key, String value) {
		this.revision++;
		JsonObject before = this.items.get(key);
		JsonObject item = new JsonObject().put("key", key)
			.put("value", Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)))
			.put("revision", this.revision)
			.put("createRevision", (before != null) ? before.getLong("createRevision") : this.revision)
			.put("lease", 0);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
		return this.revision;
	}

	synchronized String read(String key) {
		JsonObject item = this.items.get(key);
		return (item == null) ? ""
				: new String(Base64.getDecoder().decode(item.getString("value")), StandardCharsets.UTF_8);
	}

	/** Waits until a watch has just been answered. */
	synchronized void awaitWatchAnswered() throws InterruptedException {
		long before = this.watchesAnswered;
		while (this.watchesAnswered == before) {
			wait();
		}
	}

	private boolean handle(Http.Message request, Socket channel) throws Exception {
		if (this.silent) {
			Thread.sleep(120_000);
			return false;
		}
		String path = request.uri().split("\\?")[0];
		Map<String, String> query = new TreeMap<>();
		if (request.uri().contains("?")) {
			for (String each : request.uri().split("\\?", 2)[1].split("&")) {
				String[] pair = each.split("=", 2);
				query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
			}
		}
		JsonObject answer = new JsonObject();
		int status = switch (path) {
			case "/gullsaddle/kv-key" -> key(query, answer);
			case "/gullsaddle/kv-range" -> range(query, answer);
			case "/gullsaddle/kv-watch" -> watch(query, answer);
			case "/gullsaddle/kv-txn" -> write(new JsonObject(request.text()), answer);
			default -> 404;
		};
		if (this.silent) {
			Thread.sleep(120_000);
			return false;
		}
		Http.write(channel, "HTTP/1.1 " + status + " x", Map.of("Content-Type", "application/json"),
				answer.toBuffer().getBytes());
		return true;
	}

	private synchronized int key(Map<String, String> query, JsonObject answer) {
		JsonObject item = this.items.get(query.get("key"));
		answer.put("asOf", this.revision);
		if (item == null) {
			return 404;
		}
		answer.mergeIn(item);
		return 200;
	}

	private synchronized int range(Map<String, String> query, JsonObject answer) {
		JsonArray found = new JsonArray();
		this.items.forEach((key, item) -> {
			if (key.startsWith(query.get("prefix")) && key.compareTo(query.getOrDefault("after", "")) > 0) {
				found.add(item);
			}
		});
		answer.put("items", found).put("morePages", false).put("asOf", this.revision);
		return 200;
	}

	private synchronized int watch(Map<String, String> query, JsonObject answer) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
		while (true) {
			JsonArray events = new JsonArray();
			for (JsonObject event : this.history) {
				if (event.getLong("revision") > after && event.getString("key").startsWith(query.get("prefix"))) {
					events.add(event);
				}
			}
			long left = until - System.nanoTime() / 1_000_000;
			if (!events.isEmpty() || left <= 0) {
				answer.put("events", events).put("asOf", this.revision);
				this.watchesAnswered++;
				notifyAll();
				return 200;
			}
			wait(left);
		}
	}

	private synchronized int write(JsonObject body, JsonObject answer) {
		JsonArray differing = new JsonArray();
		for (Object each : body.getJsonArray("expectedRevision", new JsonArray())) {
			JsonObject condition = (JsonObject) each;
			JsonObject item = this.items.get(condition.getString("key"));
			if (((item != null) ? item.getLong("revision") : 0) != condition.getLong("revision")) {
				differing.add((item != null) ? item : condition);
			}
		}
		if (!differing.isEmpty()) {
			answer.put("items", differing);
			return 412;
		}
		for (Object each : body.getJsonArray("writes", new JsonArray())) {
			JsonObject put = (JsonObject) each;
			put(put.getString("key"),
					new String(Base64.getDecoder().decode(put.getString("value")), StandardCharsets.UTF_8));
		}
		answer.put("revision", this.revision);
		return 200;
	}

}
