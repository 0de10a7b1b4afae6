package org.gullsaddle.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The demonstration's requests and the checks on what came of them.
 */
final class Demo implements AutoCloseable {

	private static final int CALLERS = 16;

	private static final int LARGE_ENGINE_2 = 102;

	private static final int LARGE_ENGINE_3 = 103;

	private static final int SERVICE = 105;

	private static final Map<String, Set<String>> ALLOWED = Map.of("technicians",
			Set.of("small@v1", "large@v1", "large@v2", "scheduling@v1"), "office", Set.of("small@v1", "scheduling@v1"),
			"bakers", Set.of("large@v1", "large@v2"));

	private final DemoClient client;

	private final Path results;

	Demo(int port, Path results) {
		this.client = new DemoClient(port);
		this.results = results;
	}

	/**
	 * Sends several teams' requests of every kind at once, through both entries.
	 */
	boolean mixed() throws IOException {
		List<DemoRequest> requests = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			requests.add(DemoRequest.chat("technicians", "an easy question about filter " + i));
			requests.add(DemoRequest.chat("technicians", "a hard question about fan " + i));
			requests.add(DemoRequest.chat("office", "draft a report, 40 words, for visit " + i).streamed());
			requests.add(DemoRequest.chat("technicians", "review history " + i).streamed().session("shift-" + i % 3));
			requests.add(DemoRequest.order("office", "filter-" + i, "order-" + i));
		}
		for (int i = 0; i < 5; i++) {
			// Sent again, through the other entry as well: booked once all the same.
			requests.add(DemoRequest.order("office", "filter-" + i, "order-" + i));
			requests.add(DemoRequest.order("technicians", "belt-" + i, "order-" + i));
			requests.add(DemoRequest.chat("bakers", "a bake plan for shop " + i).streamed().session("shop-" + i));
		}
		for (int i = 0; i < 4; i++) {
			requests.add(DemoRequest.chat("bakers", "one question too many " + i));
		}
		requests.add(DemoRequest.chat("strangers", "whose key nobody knows"));
		requests.add(DemoRequest.chat("bakers", "whose template is not for this team").template("bookings"));
		requests.add(DemoRequest.order("office", "filter-x", ""));
		requests.add(DemoRequest.order("office", "filter-y", "order-0"));
		return run(requests);
	}

	/**
	 * Sends more of the same sessions after a version was withdrawn.
	 */
	boolean withdrawn() throws IOException {
		JsonObject before = new JsonObject().put("largeV1", servedByLargeV1());
		Files.writeString(this.results.resolveSibling("before-withdrawal.json"), before.encode());
		List<DemoRequest> requests = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			requests.add(DemoRequest.chat("technicians", "a hard question after the withdrawal " + i));
			requests
				.add(DemoRequest.chat("bakers", "a second bake plan for shop " + i).streamed().session("shop-" + i));
		}
		return run(requests);
	}

	/**
	 * Compares what callers were told with the bills, the engines and the service.
	 */
	boolean check() throws IOException {
		List<JsonObject> told = new ArrayList<>();
		for (String line : Files.readAllLines(this.results)) {
			told.add(new JsonObject(line));
		}
		DemoChecks checks = new DemoChecks(ALLOWED);
		checks.bills(told, this.client.admin("bills").getJsonArray("requests"));
		checks.answers(told);
		checks.sessions(told);
		checks.orders(told, this.client.get(SERVICE, "/orders"));
		long before = new JsonObject(Files.readString(this.results.resolveSibling("before-withdrawal.json")))
			.getLong("largeV1");
		checks.withdrawn(before, servedByLargeV1());
		checks.print();
		return checks.wrong() == 0;
	}

	@Override
	public void close() {
		this.client.close();
	}

	private boolean run(List<DemoRequest> requests) throws IOException {
		List<JsonObject> told = new ArrayList<>();
		try (ExecutorService callers = Executors.newFixedThreadPool(CALLERS)) {
			List<Future<JsonObject>> answers = new ArrayList<>();
			for (int i = 0; i < requests.size(); i++) {
				DemoRequest request = requests.get(i);
				int entry = i % 2;
				answers.add(callers.submit(() -> this.client.send(request, entry)));
			}
			for (Future<JsonObject> answer : answers) {
				told.add(answer.get());
			}
		}
		catch (InterruptedException | ExecutionException ex) {
			throw new IOException("a caller failed: " + ex.getMessage(), ex);
		}
		StringBuilder lines = new StringBuilder();
		told.forEach((each) -> lines.append(each.encode()).append('\n'));
		Files.writeString(this.results, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		Map<String, Integer> outcomes = new HashMap<>();
		told.forEach((each) -> outcomes.merge(each.getString("outcome"), 1, Integer::sum));
		told.forEach((each) -> System.out.println(DemoChecks.line(each)));
		System.out.println("sent " + told.size() + ": " + new JsonObject(Map.copyOf(outcomes)).encode());
		return true;
	}

	private long servedByLargeV1() throws IOException {
		return served(LARGE_ENGINE_2) + served(LARGE_ENGINE_3);
	}

	private long served(int engine) throws IOException {
		return this.client.get(engine, "/stats").getJsonObject("served").getLong("large@v1", 0L);
	}

	/**
	 * Sums a bill's requests by their id.
	 */
	static Map<String, List<JsonObject>> byRequest(JsonArray bills) {
		Map<String, List<JsonObject>> found = new HashMap<>();
		bills.forEach(
				(each) -> found.computeIfAbsent(((JsonObject) each).getString("request"), (id) -> new ArrayList<>())
					.add((JsonObject) each));
		return found;
	}

}
