package org.gullsaddle.settings;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.yaml.YamlException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SettingsTests {

	private static final String HASH = "5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8";

	private static final String ENTRY = """
			node: entry-1
			role: entry
			region: west
			dataCenter: west-1
			peers: {listen: 127.0.0.1:7100, key: sixteen-characters}
			store: {url: http://127.0.0.1:7000, timeout: 500ms}
			vms: {url: http://127.0.0.1:7000/vms}
			entry:
			  listen: 127.0.0.1:8080
			  admin: 127.0.0.1:8081
			  sessionKey: sixteen-characters
			  teams:
			    - {team: gold, keySha256: HASH}
			  operators:
			    - {operator: ann, keySha256: HASH}
			""".replace("HASH", HASH);

	@Test
	void defaultsFillWhatIsNotGiven() throws YamlException {
		Settings settings = Settings.parse(ENTRY);
		assertThat(settings.role()).isEqualTo(Role.ENTRY);
		assertThat(settings.store().timeoutMillis()).isEqualTo(500);
		assertThat(settings.entry().orElseThrow().grantMillis()).isEqualTo(300_000);
		assertThat(settings.agent()).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|',
			textBlock = """
					role: entry        | role: router        | line 2: role: 'router' is not allowed; allowed are entry, agent
					node: entry-1      | name: entry-1       | line 1: name: unknown key; allowed are node, role
					node: entry-1      | node: entry 1       | line 1: node: node id must be printable ASCII without spaces
					127.0.0.1:7100     | 127.0.0.1           | line 5: peers.listen: must be an IP number and a port
					key: sixteen-char  | key: short, x: char | line 5: peers.key: must have at least 16 characters
					timeout: 500ms     | timeout: fast       | line 6: store.timeout: must be a time such as 500ms
					http://127.0.0.1:7000, | redis://127.0.0.1:7000, | line 6: store.url: must be a URL such as http://10.0.0.1:7000
					keySha256: 5e88    | keySha256: zz       | line 13: entry.teams.0.keySha256: must be a SHA-256 hash of 64 hex digits
					region: west       | region:             | region: is missing
					sessionKey: six    | sessionsKey: six    | line 11: entry.sessionsKey: unknown key; allowed are
					""")
	void namesThePlaceAndWhatIsAllowed(String right, String wrong, String problem) {
		assertThatExceptionOfType(YamlException.class).isThrownBy(() -> Settings.parse(ENTRY.replace(right, wrong)))
			.withMessageContaining(problem);
	}

	@Test
	void settingsOfTheOtherRoleAreRefused() {
		String both = ENTRY + "agent: {kind: chat, backend: 'http://127.0.0.1:9000'}\n";
		assertThatExceptionOfType(YamlException.class).isThrownBy(() -> Settings.parse(both))
			.withMessageContaining("agent: must not be given for the role entry");
	}

	@Test
	void keyIsKnownByItsHashOnly() throws YamlException {
		List<AccessKey<Settings.Operator>> operators = Settings.parse(ENTRY).entry().orElseThrow().operators();
		assertThat(AccessKey.owner(operators, "password")).map(Settings.Operator::name).contains("ann");
		assertThat(AccessKey.owner(operators, "passwor")).isEmpty();
	}

}
