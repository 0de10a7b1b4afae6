package org.gullsaddle.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class GullsaddleTests {

	private static final String NOBODY = "http://127.0.0.1:1";

	@TempDir
	private Path folder;

	private String file(String yaml) throws IOException {
		return Files.writeString(this.folder.resolve("template.yaml"), yaml).toString();
	}

	@Test
	void validTemplateIsToldSo() throws IOException {
		String file = file("template: t\nversions: [{version: m@v1}]\n"
				+ "teams: {a: {requestsPerSecond: 1, concurrent: 1, dollarsPerDay: 1}}\n");
		assertThat(Gullsaddle.run("template", "check", file)).isZero();
	}

	@Test
	void invalidTemplateHasItsOwnExitCode() throws IOException {
		assertThat(Gullsaddle.run("template", "check", file("template: t\n"))).isEqualTo(3);
	}

	@Test
	void wrongUseHasItsOwnExitCode() {
		assertThat(Gullsaddle.run("template", "chek", "x")).isEqualTo(2);
		assertThat(Gullsaddle.run("template", "check", "/does/not/exist")).isEqualTo(2);
		assertThat(Gullsaddle.run("status", "--admin", NOBODY, "--output", "xml")).isEqualTo(2);
	}

	@Test
	void entryThatCannotBeReachedIsAFailure() throws IOException {
		assertThat(Gullsaddle.run("status", "--admin", NOBODY, "--key-file", file("key"))).isEqualTo(1);
	}

	/**
	 * A request was tried at one entry, and its caller came back to another. The on-call
	 * engineer has both logs, one of them cut off in its last line.
	 */
	@Test
	void linesOfARequestAreShownInTheirOrderOverAllLogs() throws IOException {
		Path one = Files.writeString(this.folder.resolve("one.log"),
				"{\"@timestamp\":\"T2\",\"message\":\"request\",\"id\":\"r7\",\"status\":503}\n"
						+ "{\"@timestamp\":\"T1\",\"message\":\"request\",\"id\":\"r70\"}\n{\"id\":\"r7\",\"mess");
		Path two = Files.writeString(this.folder.resolve("two.log"),
				"{\"@timestamp\":\"T1\",\"message\":\"attempt\",\"id\":\"r7\",\"replica\":\"i-1\"}\n");
		assertThat(shown("logs", "r7", one.toString(), two.toString()))
			.isEqualToNormalizingNewlines("T1 two.log attempt replica=i-1\nT2 one.log request status=503\n");
	}

	private static String shown(String... words) {
		PrintStream out = System.out;
		ByteArrayOutputStream shown = new ByteArrayOutputStream();
		System.setOut(new PrintStream(shown, true, StandardCharsets.UTF_8));
		try {
			assertThat(Gullsaddle.run(words)).isZero();
		}
		finally {
			System.setOut(out);
		}
		return shown.toString(StandardCharsets.UTF_8);
	}

	/**
	 * A stream began after its objective at a larger model, a call was refused, and one
	 * line was cut at the end of the file.
	 */
	@Test
	void lossesAreSummedUpByRouteAndCause() throws IOException {
		String log = file("""
				{"@timestamp":"2026-01-01T00:00:04.500Z","message":"attempt","id":"a","model":"small","confidence":20,\
				"millis":500,"firstEventMillis":-1}
				{"@timestamp":"2026-01-01T00:00:09Z","message":"attempt","id":"a","model":"large","confidence":90,\
				"millis":4500,"firstEventMillis":3000}
				{"@timestamp":"2026-01-01T00:00:09Z","message":"request","id":"a","route":"ask","outcome":"served",\
				"millis":5000,"objectiveMillis":3000}
				{"@timestamp":"2026-01-01T00:00:05Z","message":"request","id":"b","route":"order","outcome":"refused",\
				"reason":"stopping","millis":1,"objectiveMillis":300}
				{"@timestamp":"2026-01-01T00:00:05Z","message":"requ""");
		assertThat(shown("losses", log)).isEqualToNormalizingNewlines("""
				route ask requests 1 late 1 likely too hard 0.1 % answered by {large=1}
				route order requests 1 late 0 likely too hard 0.0 % answered by {}
				route order refused (stopping) 1
				second 2026-01-01T00:00:04Z lost or late 2
				not seen here: callers that no node answered, pauses after the first event, prices
				""");
	}

	@Test
	void logsWithoutRequestsHaveNoLosses() throws IOException {
		assertThat(Gullsaddle.run("losses", file("{}\n"))).isEqualTo(5);
	}

	@Test
	void requestThatNoLogKnowsHasItsOwnExitCode() throws IOException {
		assertThat(Gullsaddle.run("logs", "r8", file("{}\n"))).isEqualTo(5);
		assertThat(Gullsaddle.run("logs", "r8")).isEqualTo(2);
	}

	@ParameterizedTest
	@ValueSource(strings = { "2026-01-31T06:00:00Z", "24h", "7d", "now" })
	void timesAreReadAsPeopleWriteThem(String text) throws CommandException {
		assertThat(Times.millis(text)).isPositive();
	}

	@ParameterizedTest
	@ValueSource(strings = { "yesterday", "24", "2026-01-31", "" })
	void otherTimesAreRefused(String text) {
		assertThatExceptionOfType(CommandException.class).isThrownBy(() -> Times.millis(text))
			.withMessageContaining("is not a time");
	}

}
