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

	private static final int MAX_WAITING = 1000;

	private final QualityBook quality;

	private final VersionGuard guard;

	private final double share;

	private final RandomGenerator random;

	private final Map<AttemptId, Check> waiting = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<AttemptId, Check> eldest) {
			return size() > MAX_WAITING;
		}
	};

	SpotChecks(QualityBook quality, VersionGuard guard, double share, RandomGenerator random) {
		this.quality = quality;
		this.guard = guard;
		this.share = share;
		this.random = random;
	}

	Optional<RouterAction> consider(RequestState state, ModelVersion version, String answer) {
		boolean closely = this.guard.closely(state.request().template(), version);
		if (this.share == 0 || (!closely && this.random.nextDouble() >= this.share)) {
			return Optional.empty();
		}
		AttemptId attempt = new AttemptId(state.id(), state.attempts());
		double expected = state.expectedQuality(version);
		double bar = state.template().team(state.team()).map(Planner::bar).orElse(0.0);
		this.waiting.put(attempt, new Check(state.subject(), expected, bar));
		return Optional.of(new RouterAction.RateAnswer(attempt, version, state.request().body(), answer));
	}

	Optional<Halt> rated(AttemptId attempt, OptionalDouble score) {
		Check check = this.waiting.remove(attempt);
		if (check == null || score.isEmpty()) {
			return Optional.empty();
		}
		this.quality.rated(check.subject(), check.expected(), score.getAsDouble(), check.bar());
		return this.guard.rated(check.subject().template(), check.subject().version(), check.expected(),
				score.getAsDouble());
	}

	private record Check(QualityBook.Subject subject, double expected, double bar) {
	}

}
