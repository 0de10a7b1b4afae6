package org.gullsaddle.template;

import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

import org.gullsaddle.base.TeamId;

/**
 * Writes a template as YAML.
 */
final class TemplateWriter {

	private static final double MICROS_PER_DOLLAR = 1_000_000;

	private static final double PER_THOUSAND = 1000;

	private static final YAMLMapper MAPPER = YAMLMapper.builder()
		.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
		.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
		.build();

	private TemplateWriter() {
	}

	static String write(Template template) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("template", template.name().value());
		root.put("kind", template.kind().toString());
		root.put("repeatable", template.repeatable());
		ArrayNode versions = root.putArray("versions");
		template.versions().forEach((rule) -> writeVersion(versions.addObject(), rule));
		ObjectNode teams = root.putObject("teams");
		new TreeMap<TeamId, TeamRule>(template.teams())
			.forEach((team, rule) -> writeTeam(teams.putObject(team.value()), rule));
		try {
			return MAPPER.writeValueAsString(root);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write the template as YAML", ex);
		}
	}

	private static void writeVersion(ObjectNode node, VersionRule rule) {
		node.put("version", rule.version().toString());
		node.put("state", rule.state().toString());
		node.put("share", rule.share());
		node.put("quality", rule.quality());
		ObjectNode price = node.putObject("price");
		price.put("prompt", rule.price().promptPerThousand() / PER_THOUSAND);
		price.put("output", rule.price().outputPerThousand() / PER_THOUSAND);
		price.put("call", rule.price().perCall() / MICROS_PER_DOLLAR);
	}

	private static void writeTeam(ObjectNode node, TeamRule rule) {
		ArrayNode versions = node.putArray("versions");
		rule.versions().stream().sorted().forEach((version) -> versions.add(version.toString()));
		node.put("qualityTarget", rule.qualityTarget());
		node.put("rank", rule.rank());
		node.put("weight", rule.weight());
		node.put("requestsPerSecond", rule.requestsPerSecond());
		node.put("concurrent", rule.concurrent());
		node.put("dollarsPerDay", rule.microDollarsPerDay() / MICROS_PER_DOLLAR);
		node.put("deadline", rule.deadlineMillis() + "ms");
		node.put("cutOff", rule.cutOff().toString());
	}

}
