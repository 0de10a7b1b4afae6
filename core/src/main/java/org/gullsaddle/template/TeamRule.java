package org.gullsaddle.template;

import java.util.Set;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.ModelVersion;

/**
 * A team's parameters in a template.
 *
 * @param versions the versions the team may use
 * @param qualityTarget the target for the mean rating of its answers, 0 to 1
 * @param rank the priority of its work; higher ranks go first
 * @param weight its weight among teams of equal rank
 * @param requestsPerSecond how many requests may start per second, over all entries
 * @param concurrent how many requests may run at once, over all entries
 * @param microDollarsPerDay how much it may spend per day, over all entries
 * @param deadlineMillis the deadline of requests without one of their own, in
 * milliseconds
 * @param cutOff what happens when a node is cut off from the configuration
 */
public record TeamRule(Set<ModelVersion> versions, double qualityTarget, int rank, double weight,
		double requestsPerSecond, int concurrent, long microDollarsPerDay, long deadlineMillis,
		CutOffBehaviour cutOff) {

	public TeamRule {
		versions = Set.copyOf(versions);
		Check.that(!versions.isEmpty(), "versions must not be empty");
		Check.that(qualityTarget >= 0 && qualityTarget <= 1, "qualityTarget must be between 0 and 1");
		Check.that(weight > 0, "weight must be positive");
		Check.that(requestsPerSecond > 0, "requestsPerSecond must be positive");
		Check.that(concurrent > 0, "concurrent must be positive");
		Check.that(microDollarsPerDay > 0, "dollarsPerDay must be positive");
		Check.that(deadlineMillis > 0, "deadline must be positive");
		Check.notNull(cutOff, "cutOff");
	}

}
