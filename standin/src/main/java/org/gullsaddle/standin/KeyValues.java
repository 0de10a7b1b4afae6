package org.gullsaddle.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The store's data, in the terms of etcd's version 3 JSON interface. Used from one event
 * loop only.
 */
final class KeyValues {

	private static final int MAX_VALUE_BYTES = 1 << 20;

	private static final int MAX_HISTORY = 100_000;

	private final NavigableMap<String, JsonObject> data = new TreeMap<>();

	private final List<JsonObject> history = new ArrayList<>();

	private final Map<Long, Watch> watches = new HashMap<>();

	private final Map<Long, Long> leases = new HashMap<>();

	private long revision = 1;

	private long nextWatch = 1;

	JsonObject range(JsonObject request) {
		String key = text(request.getString("key"));
		String end = request.containsKey("range_end") ? text(request.getString("range_end")) : null;
		long limit = number(request, "limit");
		NavigableMap<String, JsonObject> found = (end != null) ? this.data.subMap(key, true, end, false)
				: this.data.subMap(key, true, key, true);
		JsonArray values = new JsonArray();
		for (JsonObject value : found.values()) {
			if (limit > 0 && values.size() >= limit) {
				break;
			}
			values.add(value);
		}
		return header().put("kvs", values)
			.put("more", values.size() < found.size())
			.put("count", String.valueOf(found.size()));
	}

	JsonObject transaction(JsonObject request) {
		boolean succeeded = true;
		for (Object each : request.getJsonArray("compare", new JsonArray())) {
			JsonObject compare = (JsonObject) each;
			JsonObject present = this.data.get(text(compare.getString("key")));
			long held = (present != null) ? Long.parseLong(present.getString("mod_revision")) : 0;
			succeeded &= held == number(compare, "mod_revision");
		}
		if (succeeded) {
			this.revision++;
			for (Object each : request.getJsonArray("success", new JsonArray())) {
				apply((JsonObject) each);
			}
		}
		return header().put("succeeded", succeeded);
	}

	private void apply(JsonObject operation) {
		if (operation.containsKey("request_put")) {
			JsonObject put = operation.getJsonObject("request_put");
			String value = put.getString("value", "");
			if (Base64.getDecoder().decode(value).length > MAX_VALUE_BYTES) {
				throw new IllegalArgumentException("value is larger than 1 MiB");
			}
			JsonObject kv = new JsonObject().put("key", put.getString("key"))
				.put("value", value)
				.put("mod_revision", String.valueOf(this.revision))
				.put("lease", put.getString("lease", "0"));
			this.data.put(text(put.getString("key")), kv);
			publish(new JsonObject().put("kv", kv));
		}
		else if (operation.containsKey("request_delete_range")) {
			delete(text(operation.getJsonObject("request_delete_range").getString("key")));
		}
	}

	private void delete(String key) {
		JsonObject removed = this.data.remove(key);
		if (removed != null) {
			publish(new JsonObject().put("type", "DELETE")
				.put("kv", new JsonObject().put("key", removed.getString("key"))
					.put("mod_revision", String.valueOf(this.revision))));
		}
	}

	private void publish(JsonObject event) {
		this.history.add(event);
		if (this.history.size() > MAX_HISTORY) {
			this.history.remove(0);
		}
		this.watches.values().forEach((watch) -> watch.offer(event));
	}

	/**
	 * Starts a watch and returns its number; the sink gets each message.
	 */
	long watch(JsonObject request, Consumer<JsonObject> sink) {
		JsonObject create = request.getJsonObject("create_request");
		String from = text(create.getString("key"));
		String to = text(create.getString("range_end"));
		long start = number(create, "start_revision");
		Watch watch = new Watch(from, to, sink);
		sink.accept(new JsonObject().put("result", header().put("created", true)));
		if (start > 0) {
			this.history.stream()
				.filter((event) -> Long.parseLong(event.getJsonObject("kv").getString("mod_revision")) >= start)
				.forEach(watch::offer);
		}
		this.watches.put(this.nextWatch, watch);
		return this.nextWatch++;
	}

	void unwatch(long watch) {
		this.watches.remove(watch);
	}

	JsonObject grantLease(JsonObject request, long now) {
		long ttl = number(request, "TTL");
		long id = this.revision * 1000 + this.leases.size() + 1;
		this.leases.put(id, now + ttl * 1000);
		return header().put("ID", String.valueOf(id)).put("TTL", String.valueOf(ttl));
	}

	JsonObject keepLease(JsonObject request, long ttlMillis, long now) {
		long id = number(request, "ID");
		boolean held = this.leases.containsKey(id);
		if (held) {
			this.leases.put(id, now + ttlMillis);
		}
		return new JsonObject().put("result",
				header().put("ID", String.valueOf(id)).put("TTL", String.valueOf(held ? ttlMillis / 1000 : 0)));
	}

	JsonObject revokeLease(JsonObject request) {
		endLease(number(request, "ID"));
		return header();
	}

	void expireLeases(long now) {
		List.copyOf(this.leases.entrySet())
			.stream()
			.filter((lease) -> lease.getValue() <= now)
			.forEach((lease) -> endLease(lease.getKey()));
	}

	private void endLease(long id) {
		if (this.leases.remove(id) != null) {
			this.revision++;
			List.copyOf(this.data.entrySet())
				.stream()
				.filter((entry) -> entry.getValue().getString("lease").equals(String.valueOf(id)))
				.forEach((entry) -> delete(entry.getKey()));
		}
	}

	private JsonObject header() {
		return new JsonObject().put("header", new JsonObject().put("revision", String.valueOf(this.revision)));
	}

	private static long number(JsonObject object, String key) {
		Object value = object.getValue(key);
		return (value != null) ? Long.parseLong(value.toString()) : 0;
	}

	private static String text(String base64) {
		return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
	}

	/**
	 * One waiting watch.
	 */
	private record Watch(String from, String to, Consumer<JsonObject> sink) {

		void offer(JsonObject event) {
			String key = text(event.getJsonObject("kv").getString("key"));
			if (key.compareTo(this.from) >= 0 && key.compareTo(this.to) < 0) {
				this.sink.accept(new JsonObject().put("result", new JsonObject()
					.put("events", new JsonArray().add(event))
					.put("header",
							new JsonObject().put("revision", event.getJsonObject("kv").getString("mod_revision")))));
			}
		}

	}

}
