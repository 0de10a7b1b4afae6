package org.gullsaddle.standin;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What callers and operators can rely on, tried from outside.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ContractTests {

	private Cluster cluster;

	@BeforeAll
	void start() throws Exception {
		this.cluster = Cluster.start("agent-1", "service-1");
	}

	@AfterAll
	void stop() throws Exception {
		this.cluster.close();
	}

	private static JsonObject error(HttpResponse<String> response) {
		return new JsonObject(response.body()).getJsonObject("error");
	}

	private HttpResponse<String> admin(String method, String path, String body, String operator) {
		return this.cluster.send(method, "entry-1-admin", "/admin/v1/" + path, body,
				Map.of("Authorization", "Bearer key-of-" + operator));
	}

	@Nested
	class Callers {

		@ParameterizedTest
		@CsvSource(delimiter = '|',
				textBlock = """
						{                                                          | 400 | must be a JSON object
						[]                                                         | 400 | must be a JSON object
						{"model":"assistant"}                                      | 400 | messages must have 1 to 1000 items
						{"model":"assistant","messages":[{"role":"x"}]}            | 400 | messages[0].role must be one of
						{"model":"assistant","messages":[{"role":"user"}]}         | 400 | messages[0].content must be a text
						{"model":"assistant","messages":[{"role":"user","content":"x"}],"max_tokens":0} | 400 | max_tokens must be between 1 and
						{"model":"no such","messages":[{"role":"user","content":"x"}]}  | 400 | template name must be printable ASCII
						{"model":"other","messages":[{"role":"user","content":"x"}]}    | 404 | there is no template 'other' for this key
						{"model":"bookings","messages":[{"role":"user","content":"x"}]} | 404 | there is no template 'bookings' for this key
						""")
		void badRequestGetsAClearError(String body, int status, String message) {
			HttpResponse<String> response = ContractTests.this.cluster.send("POST", "entry-1", "/v1/chat/completions",
					body, Map.of("Authorization", "Bearer " + Cluster.BASIC));
			assertThat(response.statusCode()).isEqualTo(status);
			assertThat(error(response).getString("message")).contains(message);
			assertThat(response.headers().firstValue("X-Verdict")).contains("not-run");
			assertThat(response.headers().firstValue("X-Request-Id")).isPresent();
		}

		@Test
		void unknownKeyIsToldNothingElse() {
			HttpResponse<String> response = ContractTests.this.cluster.chat("entry-1", "guess", "x", Map.of());
			assertThat(response.statusCode()).isEqualTo(401);
			assertThat(error(response).getString("message")).isEqualTo("the API key is not known");
		}

		@Test
		void templateOfOtherTeamsLooksLikeNone() {
			HttpResponse<String> others = ContractTests.this.cluster.send("POST", "entry-1",
					"/v1/services/bookings/orders", "{}",
					Map.of("Authorization", "Bearer " + Cluster.BASIC, "Idempotency-Key", "k"));
			HttpResponse<String> none = ContractTests.this.cluster.send("POST", "entry-1",
					"/v1/services/nothing/orders", "{}",
					Map.of("Authorization", "Bearer " + Cluster.BASIC, "Idempotency-Key", "k"));
			assertThat(error(others).getString("message").replace("bookings", "nothing"))
				.isEqualTo(error(none).getString("message"));
		}

		@Test
		void oversizeBodyIsRefused() {
			HttpResponse<String> response = ContractTests.this.cluster.chat("entry-1", Cluster.BASIC,
					"x".repeat(2_000_000), Map.of());
			assertThat(response.statusCode()).isEqualTo(413);
		}

		@Test
		void answerTellsWhatServedIt() {
			HttpResponse<String> response = ContractTests.this.cluster.chat("entry-1", Cluster.BASIC, "9 words",
					Map.of());
			assertThat(response.headers().firstValue("X-Served-By")).contains("small@v1");
			JsonObject body = new JsonObject(response.body());
			assertThat(body.getString("object")).isEqualTo("chat.completion");
			assertThat(body.getJsonObject("usage").getInteger("completion_tokens")).isEqualTo(10);
			assertThat(body.getJsonObject("gullsaddle").getString("verdict")).isEqualTo("ran");
		}

		@Test
		void sessionTokenIsHonouredByTheOtherEntry() {
			HttpResponse<String> first = ContractTests.this.cluster.chat("entry-1", Cluster.GOLD, "x",
					Map.of("X-Session-Id", "s1"));
			String token = first.headers().firstValue("X-Session-Token").orElseThrow();
			HttpResponse<String> second = ContractTests.this.cluster.chat("entry-2", Cluster.GOLD, "y",
					Map.of("X-Session-Token", token));
			assertThat(second.headers().firstValue("X-Served-By")).isEqualTo(first.headers().firstValue("X-Served-By"));
		}

		@Test
		void readsOfAServiceNeedNoKeyAndWritesDo() {
			HttpResponse<String> read = ContractTests.this.cluster.send("GET", "entry-1",
					"/v1/services/bookings/stock/flour", "", Map.of("Authorization", "Bearer " + Cluster.GOLD));
			assertThat(new JsonObject(read.body()).getString("item")).isEqualTo("flour");
			HttpResponse<String> write = ContractTests.this.cluster.send("POST", "entry-1",
					"/v1/services/bookings/orders", "{}", Map.of("Authorization", "Bearer " + Cluster.GOLD));
			assertThat(error(write).getString("type")).isEqualTo("idempotency-key-required");
		}

		@Test
		void orderSentAgainIsAnsweredAgainAndBookedOnce() {
			HttpResponse<String> first = ContractTests.this.cluster.order("entry-1", "tray", "tray-1", Map.of());
			HttpResponse<String> second = ContractTests.this.cluster.order("entry-2", "tray", "tray-1", Map.of());
			HttpResponse<String> other = ContractTests.this.cluster.order("entry-2", "tin", "tray-1", Map.of());
			assertThat(second.body()).isEqualTo(first.body());
			assertThat(error(other).getString("type")).isEqualTo("idempotency-key-reused");
			assertThat(ContractTests.this.cluster.get("backend-of-service-1", "/orders").getInteger("tray"))
				.isEqualTo(1);
		}

	}

	@Nested
	class Operators {

		@Test
		void secondOfTwoOperatorsGetsAConflictThatNamesTheFirst() {
			String changed = Fixtures.BOOKINGS.replace("concurrent: 200", "concurrent: 150");
			long present = ContractTests.this.cluster.admin("entry-1", "templates/bookings").getLong("revision");
			assertThat(admin("PUT", "templates/bookings?expect=" + present, changed, "ann").statusCode())
				.isEqualTo(200);
			HttpResponse<String> second = admin("PUT", "templates/bookings?expect=" + present, changed, "ann");
			assertThat(second.statusCode()).isEqualTo(409);
			assertThat(new JsonObject(second.body()).getString("error"))
				.isEqualTo("the template is at revision " + (present + 1) + ", changed by ann");
		}

		@Test
		void changeIsInForceOnEveryNode() throws Exception {
			long present = ContractTests.this.cluster.admin("entry-1", "templates/assistant").getLong("revision");
			ContractTests.this.cluster.apply("assistant", Fixtures.ASSISTANT, present);
			ContractTests.this.cluster.await("all nodes to have it", () -> {
				JsonObject force = ContractTests.this.cluster.admin("entry-2",
						"templates/assistant/in-force?revision=" + (present + 1));
				return force.getInteger("nodes") == 4 && force.getInteger("of") == 4;
			});
		}

		@Test
		void invalidTemplateIsRefusedWithEachProblem() {
			HttpResponse<String> response = admin("PUT", "templates/assistant?expect=0",
					"template: assistant\nkind: x\n", "ann");
			assertThat(response.statusCode()).isEqualTo(422);
			assertThat(new JsonObject(response.body()).getJsonArray("problems").size()).isEqualTo(3);
		}

		@Test
		void changeWithoutExpectedRevisionIsRefused() {
			assertThat(admin("PUT", "templates/assistant", Fixtures.ASSISTANT, "ann").statusCode()).isEqualTo(400);
		}

		@Test
		void strangerIsRefused() {
			assertThat(admin("GET", "templates", "", "nobody").statusCode()).isEqualTo(401);
		}

		/**
		 * Rivals share the platform: one team's operator reads neither the other's
		 * parameters, nor its requests, nor its bills, and changes nothing.
		 */
		@Test
		void teamsOperatorReadsItsOwnOnly() throws Exception {
			HttpResponse<String> gold = ContractTests.this.cluster.chat("entry-1", Cluster.GOLD, "secret", Map.of());
			HttpResponse<String> basic = ContractTests.this.cluster.chat("entry-1", Cluster.BASIC, "own", Map.of());
			String goldId = gold.headers().firstValue("X-Request-Id").orElseThrow();
			String basicId = basic.headers().firstValue("X-Request-Id").orElseThrow();
			ContractTests.this.cluster.await("both records",
					() -> admin("GET", "traces/" + goldId, "", "ann").statusCode() == 200
							&& admin("GET", "traces/" + basicId, "", "ann").statusCode() == 200);
			assertThat(admin("GET", "traces/" + goldId, "", "eve").statusCode()).isEqualTo(404);
			assertThat(admin("GET", "traces/" + basicId, "", "eve").statusCode()).isEqualTo(200);
			assertThat(admin("GET", "ledger", "", "eve").body()).contains(basicId).doesNotContain("gold");
			assertThat(admin("GET", "bills", "", "eve").body()).doesNotContain("gold");
			assertThat(admin("GET", "templates/assistant", "", "eve").body()).doesNotContain("gold");
			assertThat(admin("GET", "templates/bookings", "", "eve").statusCode()).isEqualTo(404);
			assertThat(admin("PUT", "templates/assistant?expect=1", Fixtures.ASSISTANT, "eve").statusCode())
				.isEqualTo(403);
		}

		@Test
		void metricsAreServedPerTeamInAScrapeFormat() {
			ContractTests.this.cluster.chat("entry-1", Cluster.BASIC, "x", Map.of());
			String metrics = ContractTests.this.cluster.send("GET", "entry-1-admin", "/metrics", "", Map.of()).body();
			assertThat(metrics).contains("# TYPE gullsaddle_whole_seconds histogram\n")
				.containsPattern("gullsaddle_whole_seconds_bucket\\{[^}]*team=\"basic\",le=\"\\+Inf\",} [1-9]")
				.containsPattern("gullsaddle_whole_seconds_count\\{[^}]*team=\"basic\",} [1-9]");
		}

		@Test
		void historyKeepsEveryRevision() {
			List<Object> revisions = ContractTests.this.cluster.admin("entry-1", "templates/bookings/history")
				.getJsonArray("revisions")
				.stream()
				.toList();
			assertThat(revisions).extracting((each) -> ((JsonObject) each).getLong("revision")).startsWith(1L);
		}

	}

}
