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

class SessionRegistryTests {

	private static final TeamId GOLD = new TeamId("gold");

	private static final TemplateName TEMPLATE = new TemplateName("assistant");

	private final SessionRegistry sessions = new SessionRegistry(null,
			"a session key".getBytes(StandardCharsets.UTF_8));

	private final String token = this.sessions.createToken(GOLD, TEMPLATE, new SessionId("s1"),
			ModelVersion.of("large@v1"));

	@Test
	void readsSessionAndVersionFromToken() {
		assertThat(this.sessions.readToken(this.token, GOLD, TEMPLATE))
			.contains(new SessionRegistry.SessionToken(new SessionId("s1"), ModelVersion.of("large@v1")));
	}

	@Test
	void ignoresTokenOfAnotherTeamOrTemplate() {
		assertThat(this.sessions.readToken(this.token, new TeamId("basic"), TEMPLATE)).isEmpty();
		assertThat(this.sessions.readToken(this.token, GOLD, new TemplateName("other"))).isEmpty();
	}

	@Test
	void ignoresTokenSignedWithAnotherKey() {
		SessionRegistry otherRegistry = new SessionRegistry(null, "another key".getBytes(StandardCharsets.UTF_8));
		assertThat(otherRegistry.readToken(this.token, GOLD, TEMPLATE)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", ".", "x", "a.b", "Z29sZA.Z29sZA", "%%%.%%%" })
	void ignoresMalformedToken(String garbage) {
		assertThat(this.sessions.readToken(garbage, GOLD, TEMPLATE)).isEmpty();
	}

}
