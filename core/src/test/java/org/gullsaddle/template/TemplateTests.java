package org.gullsaddle.template;

import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.yaml.YamlException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class TemplateTests {

	private static final TeamId GOLD = new TeamId("gold");

	private static final TeamId BASIC = new TeamId("basic");

	private static final ModelVersion SMALL = ModelVersion.of("small@v1");

	private static final ModelVersion LARGE = ModelVersion.of("large@v1");

	@Nested
	class Parsing {

		@Test
		void readsWhatItWrites() {
			Template template = Templates.parse(Templates.ASSISTANT);
			assertThat(Templates.parse(template.toYaml())).isEqualTo(template);
		}

		@ParameterizedTest
		@CsvSource(delimiter = '|',
				textBlock = """
						kind: chat     | kind: chats                  | line 2: kind: 'chats' is not allowed; allowed are chat, service
						quality: 0.8   | quality: 1.8                 | line 4: versions.0.quality: must be a number between 0 and 1
						small@v1, qual | smallv1, qual                | line 4: versions.0.version: model version must have the form model@version, not 'smallv1'
						rank: 5        | rnk: 5                       | line 7: teams.gold.rnk: unknown key; allowed are versions, qualityTarget
						[small@v1]     | [small@v2]                   | line 8: teams.basic.versions.0: version small@v2 is not among the template's versions
						rank: 1,       | rank: 1, deadline: soon,     | line 8: teams.basic.deadline: must be a time such as 500ms, 30s or 2m, not 'soon'
						rank: 1,       | rank: 1, cutOff: maybe,      | line 8: teams.basic.cutOff: 'maybe' is not allowed; allowed are serve, refuse
						large@v1       | small@v1                     | line 5: versions.1.version: is listed twice
						template: assi | tmplate: assi                | template: is missing
						kind: chat     | kind: {chat                  | line
						""")
		void namesLineAndReasonOfEachProblem(String right, String wrong, String problem) {
			String yaml = Templates.ASSISTANT.replace(right, wrong);
			assertThatExceptionOfType(YamlException.class).isThrownBy(() -> Template.parse(yaml))
				.withMessageContaining(problem);
		}

		@Test
		void namesAllProblemsAtOnce() {
			String yaml = Templates.ASSISTANT.replace("quality: 0.8", "quality: x")
				.replace("concurrent: 10", "concurent: 10");
			assertThatExceptionOfType(YamlException.class).isThrownBy(() -> Template.parse(yaml))
				.satisfies((ex) -> assertThat(ex.problems()).hasSize(5));
		}

	}

	@Nested
	class Rules {

		private final Template template = Templates.parse(Templates.ASSISTANT);

		@Test
		void teamMayUseOnlyItsVersions() {
			assertThat(this.template.allows(GOLD, LARGE, false)).isTrue();
			assertThat(this.template.allows(BASIC, LARGE, false)).isFalse();
			assertThat(this.template.allows(new TeamId("other"), SMALL, false)).isFalse();
		}

		@Test
		void retiringVersionKeepsItsSessionsAndGetsNoNewOnes() {
			Template changed = this.template.withState(LARGE, VersionState.RETIRING);
			assertThat(changed.allows(GOLD, LARGE, true)).isTrue();
			assertThat(changed.allows(GOLD, LARGE, false)).isFalse();
		}

		@Test
		void withdrawnVersionGetsNoWork() {
			Template changed = this.template.withState(LARGE, VersionState.WITHDRAWN);
			assertThat(changed.allows(GOLD, LARGE, true)).isFalse();
		}

		@Test
		void shareIsTakenFromTheModelsOtherVersions() {
			Template two = Templates.parse(Templates.ASSISTANT.replace("  - {version: large@v1",
					"  - {version: large@v2, share: 0, price: {output: 10}}\n  - {version: large@v1"));
			Template changed = two.withShare(ModelVersion.of("large@v2"), 0.25);
			assertThat(changed.findRule(LARGE).orElseThrow().share()).isEqualTo(0.75);
			assertThat(changed.findRule(SMALL).orElseThrow().share()).isEqualTo(1);
		}

	}

	@Nested
	class InForce {

		/**
		 * Guards against an old revision that arrives late, from a lagging source, and
		 * gives a withdrawn version new work again.
		 */
		@Test
		void olderRevisionNeverReplacesANewerOne() {
			Template template = Templates.parse(Templates.ASSISTANT);
			TemplateTable table = new TemplateTable();
			assertThat(table.apply(Templates.revision(2, template.withState(LARGE, VersionState.WITHDRAWN)))).isTrue();
			assertThat(table.apply(Templates.revision(1, template))).isFalse();
			assertThat(table.revisionOf(template.name())).isEqualTo(2);
		}

		@ParameterizedTest
		@CsvSource(delimiter = '|', textBlock = """
				5000   |       |       | false
				20000  | 5000  |       | false
				20000  | 20000 | 30000 | false
				20000  | 20000 | gone  | true
				20000  | 5000  | gone  | false
				20000  | gone  | gone  | true
				20000  |       |       | false
				""")
		void nodeIsCutOffOnlyIfAPeerCouldBeAcceptingChanges(long own, String one, String two, boolean cutOff) {
			assertThat(ConfigFreshness.isCutOff(own, 10_000,
					Stream.of(one, two).filter((age) -> age != null).map(InForce::peer).toList()))
				.isEqualTo(cutOff);
		}

		private static ConfigFreshness.Peer peer(String age) {
			return age.equals("gone") ? new ConfigFreshness.Peer(false, Long.MAX_VALUE)
					: new ConfigFreshness.Peer(true, Long.parseLong(age));
		}

	}

}
