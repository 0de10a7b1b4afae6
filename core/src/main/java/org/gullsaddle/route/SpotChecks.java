package org.gullsaddle.route;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.rollout.VersionGuard;

/**
 * Has a share of the answers rated that callers got directly, so that a version whose
 * answers are never rated on the way does not drift unseen.
 */
final class SpotChecks {

	private static final int MAX_PENDING_CHECKS = 1000;

	private final QualityTracker quality;

	private final VersionGuard versionGuard;

	private final double ratio;

	private final RandomGenerator random;

	private final Map<AttemptId, PendingCheck> pending = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<AttemptId, PendingCheck> eldest) {
			return size() > MAX_PENDING_CHECKS;
		}
	};

	SpotChecks(QualityTracker quality, VersionGuard guard, double share, RandomGenerator random) {
		this.quality = quality;
		this.versionGuard = guard;
		this.ratio = share;
		this.random = random;
	}

	Optional<RouterAction> chooseForRating(RequestState state, ModelVersion version, String answer) {
		boolean closely = this.versionGuard.closely(state.request().template(), version);
		if (this.ratio == 0 || (!closely && this.random.nextDouble() >= this.ratio)) {
			return Optional.empty();
		}
		AttemptId attempt = new AttemptId(state.id(), state.attemptCount());
		double expected = state.expectedRating(version);
		double bar = state.template().team(state.team()).map(Planner::passThreshold).orElse(0.0);
		this.pending.put(attempt, new PendingCheck(state.ratingKey(), expected, bar));
		return Optional.of(new RouterAction.RateAnswer(attempt, version, state.request().body(), answer));
	}

	Optional<Halt> onRated(AttemptId attempt, OptionalDouble score) {
		PendingCheck check = this.pending.remove(attempt);
		if (check == null || score.isEmpty()) {
			return Optional.empty();
		}
		this.quality.recordRating(check.ratingKey(), check.expectedRating(), score.getAsDouble(),
				check.passThreshold());
		return this.versionGuard.rated(check.ratingKey().template(), check.ratingKey().version(),
				check.expectedRating(), score.getAsDouble());
	}

	private record PendingCheck(QualityTracker.RatingKey ratingKey, double expectedRating, double passThreshold) {
	}

}
