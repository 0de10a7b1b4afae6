package org.gullsaddle.base;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.gullsaddle.allowance.Grant;
import org.gullsaddle.allowance.GrantDocument;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.AttemptRecord;
import org.gullsaddle.ledger.Bills;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.LedgerFlaw;
import org.gullsaddle.ledger.LedgerHead;
import org.gullsaddle.ledger.LedgerVerifier;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.ledger.ServingOrder;
import org.gullsaddle.register.Entry;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.route.CallOutcome;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.LimitNote;
import org.gullsaddle.serve.ReplicaEligibility;
import org.gullsaddle.serve.RolloutNote;
import org.gullsaddle.suspect.CrashNote;
import org.gullsaddle.suspect.Trait;
import org.gullsaddle.template.CutOffBehaviour;
import org.gullsaddle.template.TeamRule;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateKind;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionRule;
import org.gullsaddle.template.VersionState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against renamed components or constants in stored documents and answers, which
 * nodes of different builds could not read from each other.
 */
class StoredDocumentTests {

	/** One document per line after its name, written by an earlier build. */
	private static final String RESOURCE = "/stored-documents.txt";

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r1"), 2);

	private static final ModelVersion VERSION = ModelVersion.of("small@v1");

	private static final NodeId NODE = new NodeId("node-1");

	private static final TeamId TEAM = new TeamId("gold");

	private static final TemplateName TEMPLATE = new TemplateName("assistant");

	private static final Fingerprint CONTENT = new Fingerprint("c0ffee");

	private static final AttemptRecord ATTEMPT_RECORD = new AttemptRecord(ATTEMPT, VERSION, NODE, 3, Verdict.RAN,
			"done", new Usage(4, 5), 6, 7, 8);

	private static final AgentRecord AGENT_RECORD = new AgentRecord(NODE, TEAM, TEMPLATE, ATTEMPT_RECORD);

	private static final RequestRecord RECORD = new RequestRecord(new RequestId("r1"), TEAM, TEMPLATE, "session-1", 9,
			"cascade", List.of(ATTEMPT_RECORD), Verdict.MAY_HAVE_RUN, "served", 10, 11);

	private static Map<String, Object> documents() {
		Map<String, Object> documents = new LinkedHashMap<>();
		documents.put("rollout-note",
				new RolloutNote("node-1", -1.5, Map.of("chat", 0.25), 12, 13, Map.of("chat", 14), 15, 0.5, 16, 17, 18));
		documents.put("crash-note",
				new CrashNote(1000,
						List.of(new CrashNote.NotedCrash("replica-1@5", 20, Map.of(Trait.part("p1"), 21L), false)),
						Map.of(Trait.part("p2", "large"), 22L),
						List.of(new CrashNote.NotedBlock(Trait.content(CONTENT), 23, 24, 25, 26))));
		documents.put("limit-note", new LimitNote(27, true, 2.5));
		documents.put("segment",
				new Segment("node-1", 1, "", List.of(row(new LedgerEntry.RequestEntry(RECORD).text()))));
		documents.put("ledger-head", new LedgerHead("node-1", 28, "hash-1"));
		documents.put("request-record", RECORD);
		documents.put("held-line", AGENT_RECORD);
		documents.put("grants", new GrantDocument(Map.of("assistant/gold", List.of(new Grant(NODE, 0.5, 1.5, 29))),
				Map.of("assistant/gold", new GrantDocument.Spending(30, 31))));
		documents.put("register-entries", new Entry[] { new Entry("gold/key-1", "nonce-1", "value-1", 32) });
		documents.put("call-outcome", new CallOutcome(new RequestId("r1"), "booking@v1",
				new Completion(201, "text/plain", "stop", Usage.NONE), "ok"));
		documents.put("service-call", new ServiceCall("POST", "/seats", "application/json", "key-1", "{}"));
		documents.put("halt", new Halt(TEMPLATE, 33, VERSION, "failures"));
		documents.put("bill", new Bills.Bill(new RequestId("r1"), TEAM, TEMPLATE, 34, Verdict.NOT_RUN, "entry-lost"));
		documents.put("flaw", new LedgerFlaw("node-1", 35, 36, "changed"));
		documents.put("serving-place",
				new ServingOrder.Place(37, new RequestId("r1"), TEAM, VERSION, 38, "node-1", true));
		for (VersionState state : VersionState.values()) {
			documents.put("template-" + state, template(state, TemplateKind.CHAT, CutOffBehaviour.SERVE));
		}
		documents.put("template-service", template(VersionState.ACTIVE, TemplateKind.SERVICE, CutOffBehaviour.REFUSE));
		documents.put("refusal-reasons", RefusalReason.values());
		documents.put("verdicts", Verdict.values());
		return documents;
	}

	private static TemplateRevision template(VersionState state, TemplateKind kind, CutOffBehaviour cutOff) {
		Template template = new Template(TEMPLATE, kind, true,
				List.of(new VersionRule(VERSION, state, 0.25, 0.75, new Price(39, 40, 41))),
				Map.of(TEAM, new TeamRule(Set.of(VERSION), 0.5, 42, 1.5, 43.5, 44, 45, 46, cutOff)));
		return new TemplateRevision(47, "change-1", "ann", 48, "template: assistant", template);
	}

	private static Segment.Row row(String text) {
		return new Segment.Row(text, HexFormat.of().formatHex(Digests.sha256("", text)));
	}

	static Stream<Arguments> names() {
		return documents().keySet().stream().map(Arguments::of);
	}

	private static Map<String, String> storedTexts() throws IOException {
		Map<String, String> kept = new LinkedHashMap<>();
		try (InputStream in = StoredDocumentTests.class.getResourceAsStream(RESOURCE)) {
			for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
				int space = line.indexOf(' ');
				kept.put(line.substring(0, space), line.substring(space + 1));
			}
		}
		return kept;
	}

	@ParameterizedTest
	@MethodSource("names")
	void documentOfAnEarlierBuildIsReadWithAllItsValues(String name) throws IOException {
		Object document = documents().get(name);
		Object read = Json.read(storedTexts().get(name), document.getClass());
		if (document instanceof Object[] array) {
			assertThat((Object[]) read).containsExactly(array);
		}
		else {
			assertThat(read).isEqualTo(document);
		}
	}

	@ParameterizedTest
	@MethodSource("names")
	void documentIsWrittenAsAnEarlierBuildWroteIt(String name) throws IOException {
		assertThat(Json.write(documents().get(name))).isEqualTo(storedTexts().get(name));
	}

	@Test
	void everyStoredDocumentIsTested() throws IOException {
		assertThat(documents().keySet()).isEqualTo(storedTexts().keySet());
	}

	@Test
	void ledgerOfAnEarlierBuildIsVerified() throws IOException {
		Segment segment = Json.read(storedTexts().get("segment"), Segment.class);
		LedgerHead head = new LedgerHead(segment.writer(), segment.sequence(), segment.head());
		assertThat(LedgerVerifier.verify(List.of(segment), List.of(head))).isEmpty();
		assertThat(LedgerEntry.read(segment.rows().get(0).text())).isEqualTo(new LedgerEntry.RequestEntry(RECORD));
		assertThat(LedgerEntry.read(storedTexts().get("held-line")))
			.isEqualTo(new LedgerEntry.AttemptEntry(AGENT_RECORD));
	}

	@Test
	void namesInLogsCountersAndTheStoreStay() {
		assertThat(RefusalReason.values()).extracting(RefusalReason::status)
			.containsExactly(401, 404, 400, 413, 400, 422, 409, 429, 503, 503, 503, 503, 503, 503, 504, 502, 422, 499);
		assertThat(RolloutState.values()).extracting(Enum::name).containsExactly("RUNNING", "COMPLETED", "ROLLED_BACK");
		assertThat(ReplicaEligibility.NoReplica.values()).extracting(Enum::name)
			.containsExactly("CRASHES", "NONE", "TRIED", "COLD", "LIMITED", "RESTING", "EVACUATED", "OTHER_REGION");
		assertThat(new AttemptEnd.NotRun(true, "no connection"))
			.hasToString("NotRun[unreachable=true, reason=no connection]");
		assertThat(new AttemptEnd.Answered(200)).hasToString("Answered[status=200]");
		assertThat(new AttemptEnd.Broken("cut")).hasToString("Broken[reason=cut]");
		assertThat(new AttemptEnd.Withdrawn("caller left")).hasToString("Withdrawn[reason=caller left]");
		assertThat(new AttemptEnd.Dropped(40)).hasToString("Dropped[confidence=40]");
	}

	@Test
	void hashesStay() {
		HexFormat hex = HexFormat.of();
		assertThat(hex.formatHex(Digests.sha256("", "entry")))
			.isEqualTo("d9c2d66b522c2522728f539ff9f67b85d40defff095fc8a528c994f4f35bb3de");
		assertThat(hex.formatHex(Digests.hmac("key".getBytes(StandardCharsets.UTF_8), "a", "b")))
			.isEqualTo("29c5f0eea2d0a51b661193b3a56191192b2861f543ea0499a7f9725f7e7062fc");
		assertThat(KeyHash.toUnitInterval("replica-1@v2")).isEqualTo(0.18899674947299394);
	}

}
