package org.gullsaddle.route;

import java.util.List;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.ModelVersion;

/**
 * The versions to try in order. The answer of each stage but the last is rated, and the
 * next stage runs only if the rating is below the threshold.
 *
 * @param stages the versions, at least one
 * @param passThreshold the rating at which the cascade ends
 * @param reason why this plan was chosen, for the trace
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
