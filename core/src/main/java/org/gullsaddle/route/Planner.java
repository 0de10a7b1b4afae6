package org.gullsaddle.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.rollout.VersionGuard;
import org.gullsaddle.template.TeamRule;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateKind;
import org.gullsaddle.template.VersionRule;

/**
 * Chooses the cheapest plan that is expected to meet a team's quality target. A plan is
 * one version or a cascade of two or three, from cheap to expensive.
 */
final class Planner {

	/** The token usage for which the costs of plans are compared. */
	private static final Usage TYPICAL_USAGE = new Usage(500, 300);

	private static final double PASS_THRESHOLD_BELOW_TARGET = 0.15;

	/** How far above the target the mean quality of a team is planned. */
	private static final double TARGET_MARGIN = 0.005;

	private final QualityTracker quality;

	private final VersionGuard versionGuard;

	Planner(QualityTracker quality, VersionGuard guard) {
		this.quality = quality;
		this.versionGuard = guard;
	}

	/**
	 * Plans a request without a session.
	 * @param template the template
	 * @param team the team
	 * @param served the versions that some backend server serves
	 * @param spreadUnit a number from 0 to 1 that spreads requests over the versions of a
	 * model
	 * @param canRate whether answers can be rated now, which cascades need
	 * @param random a random number from 0 to 1 for mixing two options
	 * @return the plan, or empty if no version is available to the team
	 */
	Optional<Plan> plan(Template template, TeamId team, Set<ModelVersion> served, double spreadUnit, boolean canRate,
			double random) {
		TeamRule rule = template.findTeam(team).orElse(null);
		if (rule == null) {
			return Optional.empty();
		}
		Set<ModelVersion> active = new HashSet<>(served);
		active.removeAll(this.versionGuard.haltedVersions(template.name()));
		List<VersionRule> candidates = candidateVersions(template, team, active, spreadUnit);
		if (candidates.isEmpty()) {
			// Only halted versions are left: a doubtful answer is worth more than none.
			candidates = candidateVersions(template, team, served, spreadUnit);
		}
		List<Option> options = new ArrayList<>();
		for (VersionRule version : candidates) {
			options.add(directOption(template, team, rule, version));
		}
		if (canRate && template.kind() == TemplateKind.CHAT) {
			candidates.sort(Comparator.comparingDouble(Planner::typicalCostMicros));
			for (int first = 0; first < candidates.size(); first++) {
				for (int second = first + 1; second < candidates.size(); second++) {
					options.add(cascadeOption(template, team, rule,
							List.of(candidates.get(first), candidates.get(second))));
					for (int third = second + 1; third < candidates.size(); third++) {
						options.add(cascadeOption(template, team, rule,
								List.of(candidates.get(first), candidates.get(second), candidates.get(third))));
					}
				}
			}
		}
		return chooseOption(options, rule.qualityTarget(), random).map(Option::plan);
	}

	/**
	 * Chooses the version that a new session is to be pinned to.
	 */
	Optional<Plan> planSession(Template template, TeamId team, Set<ModelVersion> served, double spreadUnit) {
		return plan(template, team, served, spreadUnit, false, 1);
	}

	/**
	 * Chooses the cheapest way to the target: either one option for all requests, or a
	 * random mix of one that meets the target and a cheaper one that does not, such that
	 * their mean just meets it. If no option meets the target, the one of the highest
	 * quality is chosen.
	 */
	private static Optional<Option> chooseOption(List<Option> options, double target, double random) {
		double minQuality = target + TARGET_MARGIN;
		Option chosen = null;
		double lowestCost = Double.MAX_VALUE;
		for (Option good : options) {
			if (good.expectedQuality() < minQuality) {
				continue;
			}
			if (good.costMicros() < lowestCost) {
				lowestCost = good.costMicros();
				chosen = good;
			}
			for (Option cheap : options) {
				double cheapRatio = (good.expectedQuality() - minQuality)
						/ (good.expectedQuality() - cheap.expectedQuality());
				double mixedCost = cheapRatio * cheap.costMicros() + (1 - cheapRatio) * good.costMicros();
				if (cheap.expectedQuality() < minQuality && cheap.costMicros() < good.costMicros()
						&& mixedCost < lowestCost) {
					lowestCost = mixedCost;
					chosen = (random < cheapRatio) ? cheap : good;
				}
			}
		}
		return (chosen != null) ? Optional.of(chosen)
				: options.stream().max(Comparator.comparingDouble(Option::expectedQuality));
	}

	private Option directOption(Template template, TeamId team, TeamRule rule, VersionRule version) {
		double quality = this.quality.lowerBound(ratingKey(template, team, version, null), version.quality());
		String reason = "direct, expected quality " + round(quality) + " for target " + round(rule.qualityTarget());
		return new Option(new Plan(List.of(version.version()), passThreshold(rule), reason), typicalCostMicros(version),
				quality);
	}

	private Option cascadeOption(Template template, TeamId team, TeamRule rule, List<VersionRule> stages) {
		double threshold = passThreshold(rule);
		double reachedRatio = 1;
		double expectedQuality = 0;
		double cost = 0;
		VersionRule previous = null;
		for (VersionRule stage : stages) {
			QualityTracker.RatingKey key = ratingKey(template, team, stage, previous);
			cost += reachedRatio * typicalCostMicros(stage);
			if (stage.equals(stages.get(stages.size() - 1))) {
				expectedQuality += reachedRatio * this.quality.lowerBound(key, stage.quality());
			}
			else {
				double passRatio = this.quality.passRatio(key, stage.quality());
				expectedQuality += reachedRatio * passRatio
						* this.quality.meanPassingRating(key, stage.quality(), threshold);
				reachedRatio *= 1 - passRatio;
			}
			previous = stage;
		}
		String reason = "cascade, " + round(1 - reachedRatio) + " expected to pass at " + round(threshold)
				+ ", expected quality " + round(expectedQuality) + " for target " + round(rule.qualityTarget());
		List<ModelVersion> versions = stages.stream().map(VersionRule::version).toList();
		return new Option(new Plan(versions, threshold, reason), cost, expectedQuality);
	}

	/**
	 * Returns the rating at which a cascade ends. It is below the target, as the mean of
	 * the answers that reach it is higher.
	 */
	static double passThreshold(TeamRule rule) {
		return Math.max(0, rule.qualityTarget() - PASS_THRESHOLD_BELOW_TARGET);
	}

	private static QualityTracker.RatingKey ratingKey(Template template, TeamId team, VersionRule version,
			VersionRule previous) {
		return new QualityTracker.RatingKey(template.name(), team, version.version(),
				(previous != null) ? previous.version() : null);
	}

	/**
	 * Returns one version of each model that the team may use, chosen by the shares of
	 * the model's versions.
	 */
	private List<VersionRule> candidateVersions(Template template, TeamId team, Set<ModelVersion> served,
			double spreadUnit) {
		List<VersionRule> chosen = new ArrayList<>();
		for (String model : template.models()) {
			List<VersionRule> usable = template.versions()
				.stream()
				.filter((rule) -> rule.version().model().equals(model))
				.filter((rule) -> template.allows(team, rule.version(), false))
				.filter((rule) -> served.contains(rule.version()))
				.toList();
			chooseByShare(usable, spreadUnit).ifPresent(chosen::add);
		}
		return chosen;
	}

	private static Optional<VersionRule> chooseByShare(List<VersionRule> usable, double spreadUnit) {
		double remainingShare = spreadUnit * usable.stream().mapToDouble(VersionRule::share).sum();
		for (VersionRule rule : usable) {
			remainingShare -= rule.share();
			if (remainingShare < 0) {
				return Optional.of(rule);
			}
		}
		return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(usable.size() - 1));
	}

	private static double typicalCostMicros(VersionRule version) {
		return version.price().costOf(TYPICAL_USAGE);
	}

	private static String round(double number) {
		return String.valueOf(Math.round(number * 100) / 100.0);
	}

	private record Option(Plan plan, double costMicros, double expectedQuality) {
	}

}
