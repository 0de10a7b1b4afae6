import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * Another writer puts an entry without a field under {@code servers/}; later a replica of another service drains
 * and leaves.
 */
final class BadEntry extends Case {

	private static final long CONTACT_MILLIS = 4000;

	private static final long DRAIN_MILLIS = 3000;

	/** How much longer than drainMs the leaving replica serves. */
	private static final long LONGER_MILLIS = 3000;

	/** The field that the other writer leaves out. */
	private static final String MISSING = System.getenv().getOrDefault("MISSING", "version");

	public static void main(String[] args) {
		run(new BadEntry(), args);
	}

	@Override
	boolean play() throws Exception {
		Replica model = new Replica("i-model-1", "assistant-fleet");
		Replica leaving = new Replica("i-app-1", "dispatch-app");
		List<Replica> replicas = List.of(model, leaving, new Replica("i-app-2", "dispatch-app"),
				new Replica("i-app-3", "dispatch-app"));
		this.store.put("op/config", config(3, List.of(route("ask", "safe", "assistant-fleet", 2),
				route("book-order", "unsafe", "dispatch-app", 2), route("order-lookup", "safe", "dispatch-app", 2)),
				"assistant-fleet", "dispatch-app"));
		for (Replica each : replicas) {
			each.workMillis = 86;
			each.listen();
			this.store.put("servers/" + each.id, each.entry("ready").encode());
		}
		// The version that runs now was brought in by a roll-out that is completed.
		this.store.put("op/rollout/assistant-fleet", new JsonObject().put("service", "assistant-fleet")
			.put("target", "v1").put("durationS", 24).encode());
		this.store.put("status/rollout/assistant-fleet", new JsonObject().put("service", "assistant-fleet")
			.put("target", "v1").put("state", "completed").encode());
		List<Gateway> gateways = List.of(new Gateway("front-1"), new Gateway("front-2"));
		for (Gateway each : gateways) {
			each.awaitReady();
		}
		Thread.sleep(CONTACT_MILLIS);
		if (this.trouble) {
			JsonObject entry = new Replica("i-other", "assistant-fleet").entryAt("127.0.0.1:9", "ready");
			entry.remove(MISSING);
			this.store.put("servers/i-other", entry.encode());
			note("another writer put servers/i-other, without " + MISSING + ": " + entry.encode());
		}
		Thread.sleep(CONTACT_MILLIS);
		askModel(gateways);
		long confirmed = now();
		this.store.put("servers/i-app-1", leaving.entry("draining").encode());
		note("the store accepted that i-app-1 is draining");
		List<Thread> consumers = new ArrayList<>();
		long until = confirmed + DRAIN_MILLIS + LONGER_MILLIS + 1000;
		for (int i = 0; i < 8; i++) {
			Gateway gateway = gateways.get(i % 2);
			String path = (i < 4) ? "/book-order/x" : "/order-lookup/x";
			consumers.add(Thread.startVirtualThread(() -> consume(gateway, path, until)));
		}
		Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
		leaving.end();
		note("i-app-1 has exited, " + (now() - confirmed) + " ms after the store accepted that it drains");
		for (Thread each : consumers) {
			each.join();
		}
		return judge(leaving, confirmed, gateways);
	}

	private boolean judge(Replica leaving, long confirmed, List<Gateway> gateways) throws Exception {
		int late = 0;
		for (Replica.Run each : leaving.runs) {
			long after = each.atMillis() - confirmed;
			if (after > DRAIN_MILLIS) {
				late++;
				note("i-app-1 ran " + each.attempt() + " (" + each.path() + ") " + after
						+ " ms after the store accepted that it drains");
			}
		}
		note(late + " requests reached i-app-1 later than drainMs");
		for (Gateway each : gateways) {
			note(each.name + ": ready at the end: " + each.isReady());
			each.log()
				.lines()
				.filter((line) -> line.startsWith("java.lang.NullPointerException") || line.contains("FleetPoller"))
				.limit(2)
				.forEach((line) -> note(each.name + " log: " + line.strip()));
		}
		return late > 0;
	}

	/** Asks each gateway for the service of the entry; no part of the judgement. */
	private void askModel(List<Gateway> gateways) throws Exception {
		List<Thread> asked = new ArrayList<>();
		for (Gateway each : gateways) {
			asked.add(Thread.startVirtualThread(() -> consume(each, "/ask/x", now())));
		}
		for (Thread each : asked) {
			each.join();
		}
	}

	/** Sends requests on a kept channel, one after the other, at least one. */
	private void consume(Gateway gateway, String path, long until) {
		try (Http.Channel channel = new Http.Channel(gateway.front, 8000)) {
			do {
				String attempt = newAttempt();
				long sentAt = now();
				String method = path.startsWith("/book") ? "POST " : "GET ";
				Http.Message answer = channel.call(method + path + " HTTP/1.1", headers(attempt, 6000), new byte[0]);
				note(attempt + " " + path + " by " + gateway.name + ", sent at " + sentAt + ": "
						+ ((answer != null) ? answer.status() : "closed channel") + " after " + (now() - sentAt));
				if (answer == null) {
					return;
				}
				Thread.sleep(300);
			}
			while (now() < until);
		}
		catch (Exception ex) {
			note(path + " by " + gateway.name + ": " + ex);
		}
	}

}
