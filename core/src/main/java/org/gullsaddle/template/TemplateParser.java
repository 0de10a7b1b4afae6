package org.gullsaddle.template;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Price;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.yaml.YamlException;
import org.gullsaddle.yaml.YamlNode;

/**
 * Parses a template from YAML and collects every problem with its line.
 */
final class TemplateParser {

	private static final double MICROS_PER_DOLLAR = 1_000_000;

	Template parse(String yaml) throws YamlException {
		YamlNode root = YamlNode.read(yaml);
		Template template = parseTemplate(root);
		root.throwIfProblems();
		return template;
	}

	private Template parseTemplate(YamlNode node) {
		node.checkKeys("template", "kind", "repeatable", "versions", "teams");
		TemplateName name = node.convert("template", TemplateName::new);
		TemplateKind kind = node.choice("kind", TemplateKind.values(), TemplateKind.CHAT);
		boolean repeatable = node.bool("repeatable", false);
		List<VersionRule> versions = parseVersions(node);
		Map<TeamId, TeamRule> teams = parseTeams(node, versions);
		return node.hasProblems() ? null : new Template(name, kind, repeatable, versions, teams);
	}

	private List<VersionRule> parseVersions(YamlNode node) {
		List<VersionRule> rules = new ArrayList<>();
		Set<ModelVersion> seen = new LinkedHashSet<>();
		for (YamlNode item : node.items("versions")) {
			VersionRule rule = parseVersion(item);
			if (rule != null) {
				rules.add(rule);
				if (!seen.add(rule.version())) {
					item.addProblem("version", "is listed twice");
				}
			}
		}
		return rules;
	}

	private VersionRule parseVersion(YamlNode item) {
		item.checkKeys("version", "state", "share", "quality", "price");
		ModelVersion version = item.convert("version", ModelVersion::of);
		VersionState state = item.choice("state", VersionState.values(), VersionState.ACTIVE);
		double share = item.number("share", 0, 1, 1.0);
		double quality = item.number("quality", 0, 1, 0.5);
		YamlNode price = item.child("price");
		price.checkKeys("prompt", "output", "call");
		double maxDollars = MICROS_PER_DOLLAR;
		// Dollars per million tokens are micro-dollars per token.
		long prompt = Math.round(price.number("prompt", 0, maxDollars, 0.0) * 1000);
		long output = Math.round(price.number("output", 0, maxDollars, 0.0) * 1000);
		long call = Math.round(price.number("call", 0, maxDollars, 0.0) * MICROS_PER_DOLLAR);
		return (version != null) ? new VersionRule(version, state, share, quality, new Price(prompt, output, call))
				: null;
	}

	private Map<TeamId, TeamRule> parseTeams(YamlNode node, List<VersionRule> versions) {
		Map<TeamId, TeamRule> teams = new LinkedHashMap<>();
		YamlNode parent = node.child("teams");
		if (parent.keys().isEmpty()) {
			node.addProblem("teams", "must name at least one team");
		}
		parent.keys().forEach((name) -> {
			TeamId team = parent.convertKey(name, TeamId::new);
			TeamRule rule = parseTeam(parent.child(name), versions);
			if (team != null && rule != null) {
				teams.put(team, rule);
			}
		});
		return teams;
	}

	private TeamRule parseTeam(YamlNode node, List<VersionRule> versions) {
		node.checkKeys("versions", "qualityTarget", "rank", "weight", "requestsPerSecond", "concurrent",
				"dollarsPerDay", "deadline", "cutOff");
		Set<ModelVersion> known = new LinkedHashSet<>(versions.stream().map(VersionRule::version).toList());
		Set<ModelVersion> allowed = node.has("versions") ? new LinkedHashSet<>() : known;
		for (YamlNode item : node.optionalItems("versions")) {
			ModelVersion version = item.convertSelf(ModelVersion::of);
			if (version != null && !known.contains(version)) {
				item.addProblem("", "version " + version + " is not among the template's versions");
			}
			allowed.add(version);
		}
		double target = node.number("qualityTarget", 0, 1, 0.0);
		int rank = (int) node.number("rank", -100, 100, 0.0);
		double weight = node.number("weight", 0.001, 1000, 1.0);
		double rate = node.number("requestsPerSecond", 0.001, 1e6, null);
		int concurrent = (int) node.number("concurrent", 1, 1e6, null);
		long microDollarsPerDay = Math.round(node.number("dollarsPerDay", 0.000001, 1e9, null) * MICROS_PER_DOLLAR);
		long deadline = node.millis("deadline", 30_000);
		CutOffBehaviour cutOff = node.choice("cutOff", CutOffBehaviour.values(), CutOffBehaviour.SERVE);
		if (node.hasProblems()) {
			return null;
		}
		return new TeamRule(allowed, target, rank, weight, rate, concurrent, microDollarsPerDay, deadline, cutOff);
	}

}
