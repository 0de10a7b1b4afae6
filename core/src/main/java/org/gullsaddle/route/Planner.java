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
	private static final Usage TYPICAL = new Usage(500, 300);

	private final QualityBook quality;

	private final VersionGuard guard;

	Planner(QualityBook quality, VersionGuard guard) {
		this.quality = quality;
		this.guard = guard;
	}

	/**
	 * Plans a request without a session.
	 * @param template the template
	 * @param team the team
	 * @param served the versions that some backend server serves
	 * @param unit a number from 0 to 1 that spreads requests over a model's versions
	 * @param cascades whether answers can be rated now
	 * @return the plan, or empty if the team can have no version
	 */
	Optional<Plan> plan(Template template, TeamId team, Set<ModelVersion> served, double unit, boolean cascades) {
		TeamRule rule = template.team(team).orElse(null);
		if (rule == null) {
			return Optional.empty();
		}
		Set<ModelVersion> good = new HashSet<>(served);
		good.removeAll(this.guard.halted(template.name()));
		List<VersionRule> candidates = candidates(template, team, good, unit);
		if (candidates.isEmpty()) {
			// With nothing else left, a doubtful answer is worth more than none.
			candidates = candidates(template, team, served, unit);
		}
		List<Option> options = new ArrayList<>();
		for (VersionRule version : candidates) {
			options.add(direct(template, team, rule, version));
		}
		if (cascades && template.kind() == TemplateKind.CHAT) {
			for (VersionRule cheap : candidates) {
				for (VersionRule dear : candidates) {
					if (cost(cheap) < cost(dear)) {
						options.add(cascade(template, team, rule, cheap, dear));
					}
				}
			}
		}
		return best(options, rule.qualityTarget()).map(Option::plan);
	}

	/**
	 * Chooses the one version that a session is to have.
	 */
	Optional<Plan> planSession(Template template, TeamId team, Set<ModelVersion> served, double unit) {
		return plan(template, team, served, unit, false);
	}

	private Optional<Option> best(List<Option> options, double target) {
		Optional<Option> cheapest = options.stream()
			.filter((option) -> option.quality() >= target)
			.min(Comparator.comparingDouble(Option::cost));
		if (cheapest.isPresent()) {
			return cheapest;
		}
		return options.stream().max(Comparator.comparingDouble(Option::quality));
	}

	private Option direct(Template template, TeamId team, TeamRule rule, VersionRule version) {
		double bound = this.quality.lowerBound(template.name(), team, version.version(), version.quality());
		String reason = "direct, expected quality " + round(bound) + " for target " + round(rule.qualityTarget());
		return new Option(new Plan(List.of(version.version()), rule.qualityTarget(), reason), cost(version), bound);
	}

	private Option cascade(Template template, TeamId team, TeamRule rule, VersionRule cheap, VersionRule dear) {
		double bar = rule.qualityTarget();
		double pass = this.quality.passShare(template.name(), team, cheap.version(), cheap.quality());
		double passMean = this.quality.passMean(template.name(), team, cheap.version(), cheap.quality(), bar);
		double rest = this.quality.lowerBound(template.name(), team, dear.version(), dear.quality());
		double expected = pass * passMean + (1 - pass) * rest;
		double cost = cost(cheap) + (1 - pass) * cost(dear);
		String reason = "cascade, " + round(pass) + " expected to pass at " + round(bar) + ", expected quality "
				+ round(expected);
		return new Option(new Plan(List.of(cheap.version(), dear.version()), bar, reason), cost, expected);
	}

	/**
	 * Returns one version of each model, spread by share.
	 */
	private List<VersionRule> candidates(Template template, TeamId team, Set<ModelVersion> served, double unit) {
		List<VersionRule> chosen = new ArrayList<>();
		for (String model : template.models()) {
			List<VersionRule> usable = template.versions()
				.stream()
				.filter((rule) -> rule.version().model().equals(model))
				.filter((rule) -> template.allows(team, rule.version(), false))
				.filter((rule) -> served.contains(rule.version()))
				.toList();
			byShare(usable, unit).ifPresent(chosen::add);
		}
		return chosen;
	}

	private static Optional<VersionRule> byShare(List<VersionRule> usable, double unit) {
		double rest = unit * usable.stream().mapToDouble(VersionRule::share).sum();
		for (VersionRule rule : usable) {
			rest -= rule.share();
			if (rest < 0) {
				return Optional.of(rule);
			}
		}
		return usable.isEmpty() ? Optional.empty() : Optional.of(usable.get(usable.size() - 1));
	}

	private static double cost(VersionRule version) {
		return version.price().of(TYPICAL);
	}

	private static String round(double number) {
		return String.valueOf(Math.round(number * 100) / 100.0);
	}

	private record Option(Plan plan, double cost, double quality) {
	}

}
