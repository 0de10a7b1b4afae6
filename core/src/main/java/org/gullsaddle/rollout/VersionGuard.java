package org.gullsaddle.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TemplateName;

/**
 * Halts a version on evidence: failures, and ratings below what its operator expects. Not
 * thread-safe.
 * <p>
 * A version can turn bad while it serves, in the middle of a roll-out that nobody
 * watches. A sequential test needs only a few bad answers in close order, and next to
 * never trips on a good version. A halt lasts until the operator changes the template, so
 * that the version does not flap; sessions that have the version keep it.
 */
public final class VersionGuard {

	private static final double GOOD_FAILURE_RATE = 0.02;

	private static final double BAD_FAILURE_RATE = 0.25;

	private static final double FAILURE_THRESHOLD = 11;

	private static final double FAILURE_EVIDENCE = Math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE);

	private static final double SUCCESS_EVIDENCE = Math.log((1 - BAD_FAILURE_RATE) / (1 - GOOD_FAILURE_RATE));

	/** How far below the expected mean a rating counts as a bad answer. */
	private static final double POOR_RATING_MARGIN = 0.25;

	/** How much more often a version that turned bad answers badly. */
	private static final double POOR_RATE_INCREASE = 0.4;

	/** A good version trips in about one of a million ratings. */
	private static final double RATING_THRESHOLD = 14;

	/** From here on every answer is rated, to know soon. */
	private static final double CLOSE_RATING_THRESHOLD = 2;

	private static final double MIN_POOR_RATE = 0.05;

	private static final double MAX_POOR_RATE = 0.95;

	/**
	 * How many of a version's answers are rated from its start or its operator's change.
	 */
	private static final int INITIAL_RATINGS = 60;

	/** After how many ratings it is known how a version does. */
	private static final int MIN_BASELINE_RATINGS = 30;

	/** Over how many ratings. */
	private static final int MAX_BASELINE_RATINGS = 400;

	private final Map<Key, VersionStats> stats = new HashMap<>();

	private final Map<TemplateName, Long> revisions = new HashMap<>();

	private final Map<TemplateName, Set<ModelVersion>> haltedVersions = new HashMap<>();

	/**
	 * Starts anew for a template, as its operator has changed it.
	 * @param template the template
	 * @param revision its new revision
	 */
	public void onTemplateChange(TemplateName template, long revision) {
		this.revisions.put(template, revision);
		this.haltedVersions.remove(template);
		this.stats.keySet().removeIf((key) -> key.template().equals(template));
	}

	/**
	 * Notes the end of an attempt.
	 * @param template its template
	 * @param version its version
	 * @param failed whether the backend server failed it
	 * @return the halt that this led to, or empty
	 */
	public Optional<Halt> onAttemptEnd(TemplateName template, ModelVersion version, boolean failed) {
		VersionStats watch = statsOf(template, version);
		boolean bad = watch.failures.add(failed ? FAILURE_EVIDENCE : SUCCESS_EVIDENCE);
		return bad ? halt(template, version, "failures") : Optional.empty();
	}

	/**
	 * Notes a rating.
	 * @param template the template
	 * @param version the version that wrote the answer
	 * @param expected the mean rating that the operator expects
	 * @param score the rating
	 * @return the halt that this led to, or empty
	 */
	public Optional<Halt> onRating(TemplateName template, ModelVersion version, double expected, double score) {
		VersionStats watch = statsOf(template, version);
		boolean poor = score < expected - POOR_RATING_MARGIN;
		double good = watch.baselinePoorRate(expected);
		double risen = Math.min(MAX_POOR_RATE, good + POOR_RATE_INCREASE);
		boolean bad = watch.ratings.add(poor ? Math.log(risen / good) : Math.log((1 - risen) / (1 - good)));
		watch.recordRating(poor);
		return bad ? halt(template, version, "ratings") : Optional.empty();
	}

	/**
	 * Says whether a version's answers are to be rated closely, as little is known of it
	 * or it may have turned bad.
	 * @param template the template
	 * @param version the version
	 * @return true for its first answers, and while its ratings give cause for doubt
	 */
	public boolean shouldRateClosely(TemplateName template, ModelVersion version) {
		VersionStats watch = statsOf(template, version);
		return watch.ratingCount < INITIAL_RATINGS || watch.ratings.sum() > CLOSE_RATING_THRESHOLD;
	}

	/**
	 * Takes in another node's halt, unless it is of an older revision.
	 * @param halt the halt
	 */
	public void onHalt(Halt halt) {
		if (halt.revision() >= this.revisions.getOrDefault(halt.template(), 0L)) {
			this.haltedVersions.computeIfAbsent(halt.template(), (name) -> new HashSet<>()).add(halt.version());
		}
	}

	/**
	 * Returns the versions of a template that get no new work.
	 * @param template the template
	 * @return the versions
	 */
	public Set<ModelVersion> haltedVersions(TemplateName template) {
		return this.haltedVersions.getOrDefault(template, Set.of());
	}

	private Optional<Halt> halt(TemplateName template, ModelVersion version, String reason) {
		Halt halt = new Halt(template, this.revisions.getOrDefault(template, 0L), version, reason);
		boolean first = this.haltedVersions.computeIfAbsent(template, (name) -> new HashSet<>()).add(version);
		return first ? Optional.of(halt) : Optional.empty();
	}

	private VersionStats statsOf(TemplateName template, ModelVersion version) {
		return this.stats.computeIfAbsent(new Key(template, version), (key) -> new VersionStats());
	}

	private record Key(TemplateName template, ModelVersion version) {
	}

	private static final class VersionStats {

		private final ChangeDetector failures = new ChangeDetector(FAILURE_THRESHOLD);

		private final ChangeDetector ratings = new ChangeDetector(RATING_THRESHOLD);

		private int ratingCount;

		private double poorRatio;

		/**
		 * Returns how often the version answers badly when it is well: what the operator
		 * expects, or what it has shown if that is more often, as a version that always
		 * was so has not turned bad.
		 */
		double baselinePoorRate(double expected) {
			double hoped = Math.clamp(1 - expected, MIN_POOR_RATE, MAX_POOR_RATE - POOR_RATE_INCREASE);
			return (this.ratingCount < MIN_BASELINE_RATINGS) ? hoped
					: Math.clamp(this.poorRatio, hoped, MAX_POOR_RATE - POOR_RATE_INCREASE);
		}

		void recordRating(boolean poor) {
			this.ratingCount++;
			double weight = 1.0 / Math.min(this.ratingCount, MAX_BASELINE_RATINGS);
			this.poorRatio += weight * ((poor ? 1 : 0) - this.poorRatio);
		}

	}

}
