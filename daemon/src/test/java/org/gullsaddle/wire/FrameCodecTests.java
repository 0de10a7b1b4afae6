package org.gullsaddle.wire;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.AttemptRecord;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.settings.Role;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.yaml.YamlException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class FrameCodecTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r1"), 2);

	private static final ModelVersion VERSION = ModelVersion.of("small@v1");

	private static final NodeId NODE = new NodeId("agent-1");

	private static final Usage USAGE = new Usage(3, 4);

	private static final ObjectMapper PLAIN = new ObjectMapper(new MessagePackFactory());

	static Stream<Frame> frames() throws YamlException {
		AttemptRecord line = new AttemptRecord(ATTEMPT, VERSION, NODE, 1, Verdict.RAN, "done", USAGE, 5, 6, 7);
		String yaml = """
				template: t
				versions: [{version: small@v1}]
				teams: {gold: {requestsPerSecond: 1, concurrent: 1, dollarsPerDay: 1}}
				""";
		return Stream.of(new Frame.Challenge(1, NODE, Role.AGENT, "n"),
				new Frame.Hello(1, NODE, Role.ENTRY, "n", "p", 5), new Frame.Welcome("p"), new Frame.Ping(1, -1),
				new Frame.Pong(1, 2),
				new Frame.Status(new AgentInfo(NODE, "west", "west-1", Set.of(VERSION), new LoadReport(1, 2, 3)), true),
				new Frame.Load(new LoadReport(1, 2, 3)), new Frame.Leaving(),
				new Frame.Dispatched(new Dispatch(ATTEMPT, new TeamId("gold"), new TemplateName("t"), 3, VERSION, true,
						1, 2.5, 99, true, false, new Fingerprint("f"), "begun ä", "{}")),
				new Frame.Cancel(ATTEMPT), new Frame.Credit(ATTEMPT, 7), new Frame.Accepted(ATTEMPT, 1),
				new Frame.Refused(ATTEMPT, new Refusal(RefusalReason.OVERLOADED, Verdict.NOT_RUN, 9)),
				new Frame.Chunk(ATTEMPT, 5, "text ü"),
				new Frame.Done(ATTEMPT, new Completion(200, "text/plain", "stop", USAGE), 12),
				new Frame.Failed(ATTEMPT, Verdict.MAY_HAVE_RUN, true, USAGE),
				new Frame.Copy(new AgentRecord(NODE, new TeamId("gold"), new TemplateName("t"), line)),
				new Frame.CopyHeld(ATTEMPT), new Frame.Recorded(List.of(new RequestId("r1"))),
				new Frame.Templates(List.of(new TemplateRevision(4, "c", "ann", 8, yaml, Template.parse(yaml)))),
				new Frame.InForce(Map.of(new TemplateName("t"), 4L)),
				new Frame.Halted(new Halt(new TemplateName("t"), 3, VERSION, "failures")),
				new Frame.Suspect(new SuspectContent(new Fingerprint("f"), Set.of(ATTEMPT), true)));
	}

	@ParameterizedTest
	@MethodSource("frames")
	void frameRoundTrips(Frame frame) throws FrameException {
		FrameCodec.Envelope envelope = FrameCodec.read(FrameCodec.write(42, frame));
		assertThat(envelope.frame()).isEqualTo(frame);
		assertThat(envelope.stamp()).isEqualTo(42);
	}

	/**
	 * Guards against a renamed component, which a node of another release would ignore.
	 */
	@ParameterizedTest
	@MethodSource("frames")
	void frameMatchesBytesOfEarlierBuilds(Frame frame) throws IOException {
		String kind = PLAIN.readTree(FrameCodec.write(42, frame)).at("/frame/k").asText();
		byte[] stored = storedFrames().get(kind);
		assertThat(FrameCodec.write(42, frame)).isEqualTo(stored);
		assertThat(FrameCodec.read(stored)).isEqualTo(new FrameCodec.Envelope(42, frame));
	}

	@Test
	void everyFrameKindHasAnExample() throws YamlException {
		long kinds = Stream.of(Frame.class.getPermittedSubclasses())
			.filter((kind) -> kind != Frame.Unknown.class)
			.count();
		assertThat(frames().map(Frame::getClass).distinct().count()).isEqualTo(kinds);
	}

	@ParameterizedTest
	@ValueSource(strings = { "{\"stamp\":1,\"frame\":{\"k\":\"leaving\",\"since\":7}}",
			"{\"stamp\":1,\"frame\":{\"k\":\"leaving\"},\"more\":[1,2]}" })
	void unknownFieldsAreSkipped(String json) throws Exception {
		assertThat(FrameCodec.read(bytes(json)).frame()).isEqualTo(new Frame.Leaving());
	}

	@Test
	void unknownKindIsReadAsUnknown() throws Exception {
		assertThat(FrameCodec.read(bytes("{\"stamp\":1,\"frame\":{\"k\":\"later\",\"x\":1}}")).frame())
			.isEqualTo(new Frame.Unknown());
	}

	@ParameterizedTest
	@ValueSource(strings = { "{}", "7", "{\"stamp\":1,\"frame\":{\"k\":\"cancel\",\"attempt\":\"no-number\"}}",
			"{\"stamp\":1,\"frame\":{\"k\":\"dispatch\",\"dispatch\":{\"weight\":1}}}" })
	void malformedFrameIsRejected(String json) throws Exception {
		byte[] bytes = bytes(json);
		assertThatExceptionOfType(FrameException.class).isThrownBy(() -> FrameCodec.read(bytes));
	}

	@Test
	void oversizeFrameIsNotWritten() {
		Frame frame = new Frame.Chunk(ATTEMPT, 0, "x".repeat(FrameCodec.MAX_FRAME_BYTES));
		assertThatExceptionOfType(FrameException.class).isThrownBy(() -> FrameCodec.write(1, frame))
			.withMessageContaining("is larger than");
	}

	/**
	 * Reads one frame a line: its kind and its bytes in hexadecimal, written by an
	 * earlier build.
	 */
	private static Map<String, byte[]> storedFrames() throws IOException {
		Map<String, byte[]> stored = new HashMap<>();
		try (InputStream in = FrameCodecTests.class.getResourceAsStream("/frames.txt")) {
			for (String line : new String(in.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
				String[] parts = line.split(" ");
				stored.put(parts[0], HexFormat.of().parseHex(parts[1]));
			}
		}
		return stored;
	}

	private static byte[] bytes(String json) throws Exception {
		return PLAIN.writeValueAsBytes(new ObjectMapper().readTree(json));
	}

}
