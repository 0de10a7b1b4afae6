package org.gullsaddle.template;

import org.gullsaddle.base.TemplateName;
import org.gullsaddle.yaml.YamlException;

/**
 * Templates for tests.
 */
public final class Templates {

	/** A chat template with two models for the teams gold and basic. */
	public static final String ASSISTANT = """
			template: assistant
			kind: chat
			versions:
			  - {version: small@v1, quality: 0.8, price: {output: 1}}
			  - {version: large@v1, quality: 0.97, price: {output: 10}}
			teams:
			  gold: {qualityTarget: 0.85, rank: 5, requestsPerSecond: 100, concurrent: 10, dollarsPerDay: 100}
			  basic: {versions: [small@v1], rank: 1, requestsPerSecond: 100, concurrent: 10, dollarsPerDay: 100}
			""";

	/** The name of {@link #ASSISTANT}. */
	public static final TemplateName ASSISTANT_NAME = new TemplateName("assistant");

	private Templates() {
	}

	/**
	 * Parses a text that is known to be valid.
	 * @param yaml the text
	 * @return the template
	 */
	public static Template parse(String yaml) {
		try {
			return Template.parse(yaml);
		}
		catch (YamlException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	/**
	 * Creates a revision.
	 * @param number its number
	 * @param template the template
	 * @return the revision
	 */
	public static TemplateRevision revision(long number, Template template) {
		return new TemplateRevision(number, "change-" + number, "ann", 0, template.toYaml(), template);
	}

}
