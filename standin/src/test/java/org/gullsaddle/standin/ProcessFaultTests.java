package org.gullsaddle.standin;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Faults of real processes: killed, paused, restarted, without their store.
 */
class ProcessFaultTests {

	/** When an entry with nothing in hand has ended, in milliseconds after the signal. */
	private static final long STOPPED_IF_IDLE_MILLIS = 4000;

	private static final String DATA = "data: ";

	private static final String DONE = DATA + "[DONE]";

	private static String text(List<String> lines) {
		StringBuilder text = new StringBuilder();
		for (String line : lines) {
			if (line.startsWith(DATA + "{")) {
				JsonObject event = new JsonObject(line.substring(DATA.length()));
				JsonArray choices = event.getJsonArray("choices", new JsonArray());
				if (!choices.isEmpty()) {
					text.append(choices.getJsonObject(0).getJsonObject("delta").getString("content", ""));
				}
			}
		}
		return text.toString();
	}

	private static String expected(String version, String prompt) {
		return String.join("", Answers.tokens(version, 0.9, prompt + "\n"));
	}

	private static Map<String, Long> bills(Cluster cluster, String entry) {
		Map<String, Long> costs = new HashMap<>();
		for (Object each : cluster.admin(entry, "bills").getJsonArray("requests")) {
			JsonObject bill = (JsonObject) each;
			assertThat(costs.put(bill.getString("request"), bill.getLong("costMicros"))).as("one bill").isNull();
		}
		return costs;
	}

	private static String id(HttpResponse<?> response) {
		return response.headers().firstValue("X-Request-Id").orElseThrow();
	}

	private static List<String> readTo(Iterator<String> lines, int parts) {
		List<String> read = new ArrayList<>();
		while (parts > text(read).split(" ").length) {
			read.add(lines.next());
		}
		return read;
	}

	/**
	 * The caller reads a stream; its agent is killed in mid-answer. The stream goes on
	 * from where it was on the other agent, and ends whole: nothing twice, nothing
	 * missing.
	 */
	@Test
	void streamOutlivesItsAgent() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "agent-2")) {
			HttpResponse<Stream<String>> answer = cluster.stream("entry-1", Cluster.GOLD, "write 300 words").get();
			Iterator<String> lines = answer.body().iterator();
			List<String> read = readTo(lines, 20);
			cluster.kill(runningAgent(cluster));
			lines.forEachRemaining(read::add);
			assertThat(read).contains(DONE);
			assertThat(text(read)).isEqualTo(expected("large@v1", "write 300 words"));
			cluster.await("the bill", () -> bills(cluster, "entry-1").containsKey(id(answer)));
		}
	}

	private static String runningAgent(Cluster cluster) {
		return (cluster.get("backend-of-agent-1", "/load").getInteger("server_load") > 0) ? "agent-1" : "agent-2";
	}

	/**
	 * The caller has its whole answer; its entry is killed before its record is in the
	 * store, which is slow. The request is billed once all the same, from what the others
	 * held.
	 */
	@Test
	void killedEntryLeavesNoRequestUnbilled() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1")) {
			cluster.fault("platform", "/fault/store", "slow", 400);
			HttpResponse<String> answer = cluster.chat("entry-1", Cluster.GOLD, "7 words", Map.of());
			cluster.kill("entry-1");
			cluster.fault("platform", "/fault/store", "none", 0);
			assertThat(answer.statusCode()).isEqualTo(200);
			long cost = new JsonObject(answer.body()).getJsonObject("gullsaddle").getLong("cost_microdollars");
			cluster.await("the bill", () -> bills(cluster, "entry-2").containsKey(id(answer)));
			assertThat(bills(cluster, "entry-2")).containsEntry(id(answer), cost);
		}
	}

	/**
	 * An agent is paused while an order goes to it; the caller's deadline passes, and it
	 * is told that the order may have run. The agent wakes, and does not run it any more.
	 * Its word of that frees the key, if it comes before the caller orders again; then
	 * the second order runs, and nothing but it.
	 */
	@Test
	void agentPausedPastTheDeadlineDoesNotRunTheOrder() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "service-1")) {
			HttpResponse<String> first = cluster.order("entry-1", "belt", "k0", Map.of());
			assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
			cluster.pause("service-1");
			HttpResponse<String> answer = cluster.order("entry-1", "filter", "k1",
					Map.of("X-Request-Timeout-Ms", "700"));
			assertThat(answer.statusCode()).isEqualTo(504);
			assertThat(answer.headers().firstValue("X-Verdict")).contains("may-have-run");
			cluster.resume("service-1");
			HttpResponse<String> again = cluster.order("entry-2", "filter", "k1", Map.of());
			String verdict = again.headers().firstValue("X-Verdict").orElseThrow();
			assertThat(verdict).isNotEqualTo("not-run");
			assertThat(cluster.order("entry-2", "belt", "k2", Map.of("X-Request-Timeout-Ms", "5000")).statusCode())
				.isIn(200, 503);
			int booked = cluster.get("backend-of-service-1", "/orders").getInteger("filter", 0);
			assertThat(booked).isEqualTo(verdict.equals("ran") ? 1 : 0);
		}
	}

	/**
	 * The store is down. Chats go on; an order is refused at once, truly not run, and
	 * tells when to come back. When the store is back the order runs once, and all is
	 * billed.
	 */
	@Test
	void storeOutageStopsOrdersAndNotChats() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "service-1")) {
			cluster.fault("platform", "/fault/store", "down", 0);
			HttpResponse<String> chat = cluster.chat("entry-1", Cluster.GOLD, "5 words", Map.of());
			assertThat(chat.statusCode()).isEqualTo(200);
			HttpResponse<String> order = cluster.order("entry-1", "filter", "k1", Map.of());
			assertThat(order.statusCode()).isEqualTo(503);
			assertThat(order.headers().firstValue("X-Verdict")).contains("not-run");
			assertThat(order.headers().firstValue("Retry-After")).isPresent();
			cluster.fault("platform", "/fault/store", "none", 0);
			cluster.await("the order to be taken",
					() -> cluster.order("entry-2", "filter", "k1", Map.of()).statusCode() == 200);
			assertThat(cluster.get("backend-of-service-1", "/orders").getInteger("filter", 0)).isEqualTo(1);
			cluster.await("the chat's bill", () -> bills(cluster, "entry-1").containsKey(id(chat)));
		}
	}

	/**
	 * The store is down. One order is refused at once; another comes before the store is
	 * asked again. It waited for its whole deadline, as nothing but the next order asked
	 * the store again, and was told that its time was over.
	 */
	@Test
	void orderRightAfterARefusedOneIsRefusedForTheStoreToo() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "service-1")) {
			cluster.fault("platform", "/fault/store", "down", 0);
			assertThat(cluster.order("entry-1", "filter", "k1", Map.of()).body()).contains("store-unavailable");
			assertThat(cluster.order("entry-1", "filter", "k1", Map.of()).body()).contains("store-unavailable");
		}
	}

	/**
	 * The store takes writes and loses the answers. An order and its repeats through both
	 * entries are booked once.
	 */
	@Test
	void lostAnswersOfTheStoreBookNothingTwice() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "service-1")) {
			cluster.fault("platform", "/fault/store", "lose-answers", 0);
			for (int i = 0; i < 4; i++) {
				cluster.order((i % 2 == 0) ? "entry-1" : "entry-2", "filter", "k1", Map.of());
			}
			cluster.fault("platform", "/fault/store", "none", 0);
			cluster.await("the order to be settled",
					() -> cluster.order("entry-2", "filter", "k1", Map.of()).statusCode() != 503);
			assertThat(cluster.get("backend-of-service-1", "/orders").getInteger("filter", 0)).isLessThanOrEqualTo(1);
		}
	}

	/**
	 * Each agent and each entry is told to stop, one after another and while streams run.
	 * No stream is cut off, each process exits with 0, and every answer is billed once.
	 */
	@Test
	void rollingRestartCutsNoRequestOff() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "agent-2")) {
			Map<String, Long> expected = new HashMap<>();
			for (String node : List.of("agent-1", "agent-2", "entry-1")) {
				List<CompletableFuture<HttpResponse<Stream<String>>>> answers = new ArrayList<>();
				for (int i = 0; i < 8; i++) {
					answers.add(cluster.stream("entry-1", Cluster.GOLD, "write 60 words for " + node + i));
				}
				answers.get(0).get();
				Thread.sleep(200);
				assertThat(cluster.stop(node)).as("exit code of " + node).isZero();
				for (int i = 0; i < 8; i++) {
					HttpResponse<Stream<String>> answer = answers.get(i).get();
					List<String> lines = answer.body().toList();
					assertThat(lines).contains(DONE);
					assertThat(text(lines)).isEqualTo(expected("large@v1", "write 60 words for " + node + i));
					expected.put(id(answer), null);
				}
				restart(cluster, node);
			}
			cluster.await("all bills", () -> bills(cluster, "entry-2").keySet().containsAll(expected.keySet()));
		}
	}

	/**
	 * Guards against a caller whose connection closes without an answer: an entry that
	 * stops ends while it reads the caller's request.
	 */
	@Test
	void requestThatIsReadHalfwayIsAnsweredBeforeAnEntryEnds() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1"); Socket caller = cluster.connect("entry-1")) {
			OutputStream out = caller.getOutputStream();
			out.write("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 20\r\n\r\n{"
				.getBytes(StandardCharsets.US_ASCII));
			CompletableFuture<Integer> exit = CompletableFuture.supplyAsync(() -> cluster.stop("entry-1"));
			Thread.sleep(STOPPED_IF_IDLE_MILLIS);
			out.write("                  }".getBytes(StandardCharsets.US_ASCII));
			BufferedReader in = new BufferedReader(new InputStreamReader(caller.getInputStream()));
			assertThat(in.readLine()).startsWith("HTTP/1.1 503");
			assertThat(exit.get()).isZero();
		}
	}

	private static void restart(Cluster cluster, String node) throws Exception {
		if (node.startsWith("agent")) {
			cluster.agent(node);
			cluster.await(node + " to be linked",
					() -> cluster.admin("entry-1", "status").getJsonArray("links").encode().contains(node));
		}
		else {
			cluster.entry(node);
		}
	}

	/**
	 * The platform's list says that a VM is leaving; its agent says nothing. Both entries
	 * send it no new work any more.
	 */
	@Test
	void serverThatTheListCallsLeavingGetsNoNewWork() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "agent-2")) {
			cluster.list("agent-1", "leaving");
			Thread.sleep(1500);
			JsonObject before = cluster.get("backend-of-agent-1", "/stats").getJsonObject("served");
			for (int i = 0; i < 20; i++) {
				String entry = (i % 2 == 0) ? "entry-1" : "entry-2";
				assertThat(cluster.chat(entry, Cluster.GOLD, "3 words " + i, Map.of()).statusCode()).isEqualTo(200);
			}
			assertThat(cluster.get("backend-of-agent-1", "/stats").getJsonObject("served")).isEqualTo(before);
		}
	}

	/**
	 * A prompt crashes each engine that runs it; its caller sends it again through the
	 * other entry. It costs two engines at most, and the caller is told that it is the
	 * cause.
	 */
	@Test
	void crashingPromptCostsAtMostTwoEngines() throws Exception {
		try (Cluster cluster = Cluster.start("agent-1", "agent-2", "agent-3")) {
			HttpResponse<String> first = cluster.chat("entry-1", Cluster.GOLD, Engine.CRASH_MARK, Map.of());
			assertThat(first.statusCode()).isEqualTo(422);
			for (String entry : List.of("entry-2", "entry-1")) {
				HttpResponse<String> again = cluster.chat(entry, Cluster.GOLD, Engine.CRASH_MARK, Map.of());
				assertThat(again.statusCode()).isEqualTo(422);
				assertThat(again.headers().firstValue("X-Verdict")).contains("not-run");
			}
			assertThat(cluster.chat("entry-2", Cluster.GOLD, "a harmless one", Map.of()).statusCode()).isEqualTo(200);
		}
	}

}
