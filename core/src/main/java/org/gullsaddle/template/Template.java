package org.gullsaddle.template;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.annotation.JsonIgnore;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.yaml.YamlException;

/**
 * An operator's definition of which versions serve a kind of request and what each team
 * may use. Immutable; a change creates a new revision.
 *
 * <pre>
 * Template next = Template.parse(yaml).withState(version, VersionState.WITHDRAWN);
 * </pre>
 *
 * @param name its name
 * @param kind the kind of backend server it routes to
 * @param repeatable whether service calls other than reads may be retried
 * @param versions the versions in the order written
 * @param teams the parameters of each team
 */
public record Template(TemplateName name, TemplateKind kind, boolean repeatable, List<VersionRule> versions,
		Map<TeamId, TeamRule> teams) {

	public Template {
		Check.notNull(name, "name");
		Check.notNull(kind, "kind");
		versions = List.copyOf(versions);
		teams = Map.copyOf(teams);
	}

	/**
	 * Parses a template from YAML.
	 * @param yaml the text
	 * @return the template
	 * @throws YamlException if the text is not a complete and valid template; its
	 * problems give the lines
	 */
	public static Template parse(String yaml) throws YamlException {
		return new TemplateParser().parse(yaml);
	}

	/**
	 * Returns the rule of a version.
	 * @param version the version
	 * @return its rule, or empty if the template does not list it
	 */
	public Optional<VersionRule> findRule(ModelVersion version) {
		return this.versions.stream().filter((rule) -> rule.version().equals(version)).findFirst();
	}

	/**
	 * Returns the parameters of a team.
	 * @param team the team
	 * @return its parameters, or empty if the template is not for this team
	 */
	public Optional<TeamRule> findTeam(TeamId team) {
		return Optional.ofNullable(this.teams.get(team));
	}

	/**
	 * Returns whether a team's request may start on a version.
	 * @param team the team
	 * @param version the version
	 * @param pinned whether the request's session has this version already
	 * @return true if it may
	 */
	public boolean allows(TeamId team, ModelVersion version, boolean pinned) {
		TeamRule teamRule = this.teams.get(team);
		if (teamRule == null || !teamRule.versions().contains(version)) {
			return false;
		}
		return findRule(version).map((rule) -> rule.allowsStart(pinned)).orElse(false);
	}

	/**
	 * Returns a copy with a version's state changed.
	 * @param version the version
	 * @param state its new state
	 * @return the changed template
	 * @throws IllegalArgumentException if the template does not list the version
	 */
	public Template withState(ModelVersion version, VersionState state) {
		return change(version, (rule) -> rule.withState(state));
	}

	/**
	 * Returns a copy with a version's share changed; its model's other active versions
	 * keep their proportions.
	 * @param version the version
	 * @param share its new share, 0 to 1
	 * @return the changed template
	 * @throws IllegalArgumentException if the template does not list the version
	 */
	public Template withShare(ModelVersion version, double share) {
		double othersShare = this.versions.stream()
			.filter((rule) -> rule.version().model().equals(version.model()) && !rule.version().equals(version))
			.mapToDouble(VersionRule::share)
			.sum();
		Template changed = change(version, (rule) -> rule.withShare(share));
		if (othersShare == 0) {
			return changed;
		}
		List<VersionRule> rules = changed.versions.stream()
			.map((rule) -> (rule.version().model().equals(version.model()) && !rule.version().equals(version))
					? rule.withShare(rule.share() / othersShare * (1 - share)) : rule)
			.toList();
		return new Template(this.name, this.kind, this.repeatable, rules, this.teams);
	}

	/**
	 * Returns a copy with the parameters of some teams only.
	 * @param kept selects the teams to keep
	 * @return the reduced template
	 */
	public Template onlyTeams(Predicate<TeamId> kept) {
		Map<TeamId, TeamRule> rules = new HashMap<>();
		this.teams.forEach((team, rule) -> {
			if (kept.test(team)) {
				rules.put(team, rule);
			}
		});
		return new Template(this.name, this.kind, this.repeatable, this.versions, rules);
	}

	/**
	 * Returns the names of the models, in the order of their first version.
	 * @return the models
	 */
	@JsonIgnore
	public List<String> models() {
		return this.versions.stream().map((rule) -> rule.version().model()).distinct().toList();
	}

	/**
	 * Returns the YAML that {@link #parse(String)} reads as this template.
	 * @return the text
	 */
	public String toYaml() {
		return TemplateWriter.write(this);
	}

	private Template change(ModelVersion version, UnaryOperator<VersionRule> change) {
		Check.that(findRule(version).isPresent(), "template " + this.name + " has no version " + version);
		List<VersionRule> rules = new ArrayList<>();
		for (VersionRule rule : this.versions) {
			rules.add(rule.version().equals(version) ? change.apply(rule) : rule);
		}
		return new Template(this.name, this.kind, this.repeatable, rules, this.teams);
	}

}
