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
 * Chooses the cheapest plan that is expected to meet a team's quality target.
 */
final class Planner {

	/** The usage that plans are compared by. */
	private static final Usage TYPICAL_USAGE = new Usage(500, 300);

	private static final double PASS_THRESHOLD_BELOW_TARGET = 0.15;

	/** How far above its target a team's mean is aimed at. */
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
	 * @param unit a number from 0 to 1 that spreads requests over a model's versions
	 * @param cascades whether answers can be rated now
	 * @param dice a random number from 0 to 1
	 * @return the plan, or empty if the team can have no version
	 */
	Optional<Plan> plan(Template template, TeamId team, Set<ModelVersion> served, double unit, boolean cascades,
			double dice) {
		TeamRule rule = template.team(team).orElse(null);
		if (rule == null) {
			return Optional.empty();
		}
		Set<ModelVersion> good = new HashSet<>(served);
		good.removeAll(this.versionGuard.halted(template.name()));
		List<VersionRule> candidates = candidateVersions(template, team, good, unit);
		if (candidates.isEmpty()) {
			// With nothing else left, a doubtful answer is worth more than none.
			candidates = candidateVersions(template, team, served, unit);
		}
		List<Option> options = new ArrayList<>();
		for (VersionRule version : candidates) {
			options.add(directOption(template, team, rule, version));
		}
		if (cascades && template.kind() == TemplateKind.CHAT) {
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
		return chooseOption(options, rule.qualityTarget(), dice).map(Option::plan);
	}

	/**
	 * Chooses the one version that a session is to have.
	 */
	Optional<Plan> planSession(Template template, TeamId team, Set<ModelVersion> served, double unit) {
		return plan(template, team, served, unit, false, 1);
	}

	/**
	 * Takes the cheapest way to the target: one option for all, or for a part of the
	 * requests a cheaper one that alone would miss the target, so that the mean just
	 * meets it.
	 */
	private static Optional<Option> chooseOption(List<Option> options, double target, double dice) {
		double aim = target + TARGET_MARGIN;
		Option chosen = null;
		double least = Double.MAX_VALUE;
		for (Option good : options) {
			if (good.expectedQuality() < aim) {
				continue;
			}
			if (good.costMicros() < least) {
				least = good.costMicros();
				chosen = good;
			}
			for (Option cheap : options) {
				double part = (good.expectedQuality() - aim) / (good.expectedQuality() - cheap.expectedQuality());
				double mixed = part * cheap.costMicros() + (1 - part) * good.costMicros();
				if (cheap.expectedQuality() < aim && cheap.costMicros() < good.costMicros() && mixed < least) {
					least = mixed;
					chosen = (dice < part) ? cheap : good;
				}
			}
		}
		return (chosen != null) ? Optional.of(chosen)
				: options.stream().max(Comparator.comparingDouble(Option::expectedQuality));
	}

	private Option directOption(Template template, TeamId team, TeamRule rule, VersionRule version) {
		double bound = this.quality.lowerBound(ratingKey(template, team, version, null), version.quality());
		String reason = "direct, expected quality " + round(bound) + " for target " + round(rule.qualityTarget());
		return new Option(new Plan(List.of(version.version()), passThreshold(rule), reason), typicalCostMicros(version),
				bound);
	}

	private Option cascadeOption(Template template, TeamId team, TeamRule rule, List<VersionRule> stages) {
		double bar = passThreshold(rule);
		double reached = 1;
		double expected = 0;
		double cost = 0;
		VersionRule before = null;
		for (VersionRule stage : stages) {
			QualityTracker.RatingKey subject = ratingKey(template, team, stage, before);
			cost += reached * typicalCostMicros(stage);
			if (stage.equals(stages.get(stages.size() - 1))) {
				expected += reached * this.quality.lowerBound(subject, stage.quality());
			}
			else {
				double pass = this.quality.passRatio(subject, stage.quality());
				expected += reached * pass * this.quality.meanPassingRating(subject, stage.quality(), bar);
				reached *= 1 - pass;
			}
			before = stage;
		}
		String reason = "cascade, " + round(1 - reached) + " expected to pass at " + round(bar) + ", expected quality "
				+ round(expected) + " for target " + round(rule.qualityTarget());
		List<ModelVersion> versions = stages.stream().map(VersionRule::version).toList();
		return new Option(new Plan(versions, bar, reason), cost, expected);
	}

	/**
	 * Returns the rating that ends a cascade: below the target, as the answers that reach
	 * it lie above it in the mean.
	 */
	static double passThreshold(TeamRule rule) {
		return Math.max(0, rule.qualityTarget() - PASS_THRESHOLD_BELOW_TARGET);
	}

	private static QualityTracker.RatingKey ratingKey(Template template, TeamId team, VersionRule version,
			VersionRule before) {
		return new QualityTracker.RatingKey(template.name(), team, version.version(),
				(before != null) ? before.version() : null);
	}

	/**
	 * Returns one version of each model, spread by share.
	 */
	private List<VersionRule> candidateVersions(Template template, TeamId team, Set<ModelVersion> served, double unit) {
		List<VersionRule> chosen = new ArrayList<>();
		for (String model : template.models()) {
			List<VersionRule> usable = template.versions()
				.stream()
				.filter((rule) -> rule.version().model().equals(model))
				.filter((rule) -> template.allows(team, rule.version(), false))
				.filter((rule) -> served.contains(rule.version()))
				.toList();
			chooseByShare(usable, unit).ifPresent(chosen::add);
		}
		return chosen;
	}

	private static Optional<VersionRule> chooseByShare(List<VersionRule> usable, double unit) {
		double rest = unit * usable.stream().mapToDouble(VersionRule::share).sum();
		for (VersionRule rule : usable) {
			rest -= rule.share();
			if (rest < 0) {
				return Optional.of(rule);
			}
		}
		return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(usable.size() - 1));
	}

	private static double typicalCostMicros(VersionRule version) {
		return version.price().of(TYPICAL_USAGE);
	}

	private static String round(double number) {
		return String.valueOf(Math.round(number * 100) / 100.0);
	}

	private record Option(Plan plan, double costMicros, double expectedQuality) {
	}

}
