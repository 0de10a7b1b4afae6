package org.gullsaddle.route;

import java.util.List;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.ModelVersion;

/**
 * The versions to try in turn; the answer of each but the last is rated, and the next is
 * asked only if the rating misses the bar.
 *
 * @param stages at least one version
 * @param passThreshold the rating that ends the cascade
 * @param reason why this plan, for the trace
 */
record Plan(List<ModelVersion> stages, double passThreshold, String reason) {

	Plan {
		stages = List.copyOf(stages);
		Check.that(!stages.isEmpty(), "a plan needs a stage");
	}

	boolean isLastStage(int stage) {
		return stage == this.stages.size() - 1;
	}

}
