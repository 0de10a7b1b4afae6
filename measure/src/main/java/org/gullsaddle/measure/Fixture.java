package org.gullsaddle.measure;

import org.gullsaddle.base.TemplateName;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.yaml.YamlException;

/**
 * Templates of the experiments.
 */
final class Fixture {

	static final TemplateName NAME = new TemplateName("t");

	private Fixture() {
	}

	static TemplateRevision revision(String yaml) {
		try {
			return new TemplateRevision(1, "c", "ann", 0, yaml, Template.parse(yaml));
		}
		catch (YamlException ex) {
			throw new IllegalArgumentException(ex);
		}
	}

	static String team(String name, int rank, double target) {
		return "  " + name + ": {rank: " + rank + ", qualityTarget: " + target
				+ ", requestsPerSecond: 100000, concurrent: 100000, dollarsPerDay: 1000000}\n";
	}

}
