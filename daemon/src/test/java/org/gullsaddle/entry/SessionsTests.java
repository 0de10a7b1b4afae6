package org.gullsaddle.entry;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

import static org.assertj.core.api.Assertions.assertThat;

class SessionsTests {

	private static final TeamId GOLD = new TeamId("gold");

	private static final TemplateName TEMPLATE = new TemplateName("assistant");

	private final Sessions sessions = new Sessions(null, "a session key".getBytes(StandardCharsets.UTF_8));

	private final String token = this.sessions.token(GOLD, TEMPLATE, new SessionId("s1"), ModelVersion.of("large@v1"));

	@Test
	void tokenTellsTheSessionAndItsVersion() {
		assertThat(this.sessions.read(this.token, GOLD, TEMPLATE))
			.contains(new Sessions.Token(new SessionId("s1"), ModelVersion.of("large@v1")));
	}

	@Test
	void tokenOfAnotherTeamOrTemplateIsNone() {
		assertThat(this.sessions.read(this.token, new TeamId("basic"), TEMPLATE)).isEmpty();
		assertThat(this.sessions.read(this.token, GOLD, new TemplateName("other"))).isEmpty();
	}

	@Test
	void tokenSignedWithAnotherKeyIsNone() {
		Sessions others = new Sessions(null, "another key".getBytes(StandardCharsets.UTF_8));
		assertThat(others.read(this.token, GOLD, TEMPLATE)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", ".", "x", "a.b", "Z29sZA.Z29sZA", "%%%.%%%" })
	void garbageIsNone(String garbage) {
		assertThat(this.sessions.read(garbage, GOLD, TEMPLATE)).isEmpty();
	}

}
