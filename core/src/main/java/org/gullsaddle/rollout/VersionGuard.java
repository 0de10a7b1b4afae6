package org.gullsaddle.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TemplateName;

/**
 * Halts a version that fails too often or is rated below what its operator expects. Not
 * thread-safe.
 * <p>
 * A version can degrade while it serves, in the middle of an unattended roll-out. A
 * sequential test needs only a few bad answers close together and almost never halts a
 * good version. A halt lasts until the operator changes the template, so that the version
 * does not flap; sessions pinned to the version keep it.
 */
public final class VersionGuard {

	private static final double GOOD_FAILURE_RATE = 0.02;

	private static final double BAD_FAILURE_RATE = 0.25;

	private static final double FAILURE_THRESHOLD = 11;

	private static final double FAILURE_EVIDENCE = Math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE);

	private static final double SUCCESS_EVIDENCE = Math.log((1 - BAD_FAILURE_RATE) / (1 - GOOD_FAILURE_RATE));

	/** How far below the expected mean a rating counts as poor. */
	private static final double POOR_RATING_MARGIN = 0.25;

	/** How much higher the rate of poor answers of a degraded version is. */
	private static final double POOR_RATE_INCREASE = 0.4;

	/** A good version reaches it in about one of a million ratings. */
	private static final double RATING_THRESHOLD = 14;

	/** From this evidence on every answer is rated, to decide soon. */
	private static final double CLOSE_RATING_THRESHOLD = 2;

	private static final double MIN_POOR_RATE = 0.05;

	private static final double MAX_POOR_RATE = 0.95;

	/**
	 * How many answers of a new version, or after an operator's change, are all rated.
	 */
	private static final int INITIAL_RATINGS = 60;

	/**
	 * After how many ratings a version's own rate of poor answers is used as its
	 * baseline.
	 */
	private static final int MIN_BASELINE_RATINGS = 30;

	/** The number of ratings over which the baseline is averaged. */
	private static final int MAX_BASELINE_RATINGS = 400;

	private final Map<Key, VersionStats> stats = new HashMap<>();

	private final Map<TemplateName, Long> revisions = new HashMap<>();

	private final Map<TemplateName, Set<ModelVersion>> haltedVersions = new HashMap<>();

	/**
	 * Handles an operator's change of a template, which ends its halts and resets its
	 * evidence.
	 * @param template the template
	 * @param revision its new revision
	 */
	public void onTemplateChange(TemplateName template, long revision) {
		this.revisions.put(template, revision);
		this.haltedVersions.remove(template);
		this.stats.keySet().removeIf((key) -> key.template().equals(template));
	}

	/**
	 * Handles the end of an attempt.
	 * @param template its template
	 * @param version its version
	 * @param failed whether it failed on the backend server
	 * @return the halt that this triggers, or empty
	 */
	public Optional<Halt> onAttemptEnd(TemplateName template, ModelVersion version, boolean failed) {
		VersionStats stats = statsOf(template, version);
		boolean bad = stats.failures.add(failed ? FAILURE_EVIDENCE : SUCCESS_EVIDENCE);
		return bad ? halt(template, version, "failures") : Optional.empty();
	}

	/**
	 * Handles a rating.
	 * @param template the template
	 * @param version the version that wrote the answer
	 * @param expected the mean rating that the operator expects
	 * @param score the rating
	 * @return the halt that this triggers, or empty
	 */
	public Optional<Halt> onRating(TemplateName template, ModelVersion version, double expected, double score) {
		VersionStats stats = statsOf(template, version);
		boolean poor = score < expected - POOR_RATING_MARGIN;
		double baseline = stats.baselinePoorRate(expected);
		double degraded = Math.min(MAX_POOR_RATE, baseline + POOR_RATE_INCREASE);
		boolean bad = stats.ratings
			.add(poor ? Math.log(degraded / baseline) : Math.log((1 - degraded) / (1 - baseline)));
		stats.recordRating(poor);
		return bad ? halt(template, version, "ratings") : Optional.empty();
	}

	/**
	 * Returns whether all of a version's answers should be rated, as little is known
	 * about it or it may have degraded.
	 * @param template the template
	 * @param version the version
	 * @return true for its first answers, and while its ratings suggest a change
	 */
	public boolean shouldRateClosely(TemplateName template, ModelVersion version) {
		VersionStats stats = statsOf(template, version);
		return stats.ratingCount < INITIAL_RATINGS || stats.ratings.sum() > CLOSE_RATING_THRESHOLD;
	}

	/**
	 * Handles a peer's halt, unless it is from an older revision.
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
		 * Returns the rate of poor answers of the version in its normal state: what the
		 * operator expects, or the rate it has shown if that is higher, as a version that
		 * was always weak has not degraded.
		 */
		double baselinePoorRate(double expected) {
			double expectedPoorRate = Math.clamp(1 - expected, MIN_POOR_RATE, MAX_POOR_RATE - POOR_RATE_INCREASE);
			return (this.ratingCount < MIN_BASELINE_RATINGS) ? expectedPoorRate
					: Math.clamp(this.poorRatio, expectedPoorRate, MAX_POOR_RATE - POOR_RATE_INCREASE);
		}

		void recordRating(boolean poor) {
			this.ratingCount++;
			double weight = 1.0 / Math.min(this.ratingCount, MAX_BASELINE_RATINGS);
			this.poorRatio += weight * ((poor ? 1 : 0) - this.poorRatio);
		}

	}

}
