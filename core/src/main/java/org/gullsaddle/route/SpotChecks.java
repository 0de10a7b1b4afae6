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
 * Has a random sample of the directly delivered answers rated afterwards, so that the
 * drift of a version is noticed even if its answers are never rated before delivery.
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

	SpotChecks(QualityTracker quality, VersionGuard versionGuard, double ratio, RandomGenerator random) {
		this.quality = quality;
		this.versionGuard = versionGuard;
		this.ratio = ratio;
		this.random = random;
	}

	/**
	 * Decides whether a delivered answer is rated. All answers of a version are rated
	 * while the version guard watches it closely, unless spot checks are off.
	 */
	Optional<RouterAction> chooseForRating(RequestState state, ModelVersion version, String answer) {
		boolean isWatchedClosely = this.versionGuard.shouldRateClosely(state.request().template(), version);
		if (this.ratio == 0 || (!isWatchedClosely && this.random.nextDouble() >= this.ratio)) {
			return Optional.empty();
		}
		AttemptId attempt = new AttemptId(state.id(), state.attemptCount());
		double expected = state.expectedRating(version);
		double threshold = state.template().findTeam(state.team()).map(Planner::passThreshold).orElse(0.0);
		this.pending.put(attempt, new PendingCheck(state.ratingKey(), expected, threshold));
		return Optional.of(new RouterAction.RateAnswer(attempt, version, state.request().body(), answer));
	}

	Optional<Halt> onRated(AttemptId attempt, OptionalDouble score) {
		PendingCheck check = this.pending.remove(attempt);
		if (check == null || score.isEmpty()) {
			return Optional.empty();
		}
		this.quality.recordRating(check.ratingKey(), check.expectedRating(), score.getAsDouble(),
				check.passThreshold());
		return this.versionGuard.onRating(check.ratingKey().template(), check.ratingKey().version(),
				check.expectedRating(), score.getAsDouble());
	}

	private record PendingCheck(QualityTracker.RatingKey ratingKey, double expectedRating, double passThreshold) {
	}

}
