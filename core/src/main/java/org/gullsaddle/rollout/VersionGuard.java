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

	private static final double FAILED = Math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE);

	private static final double SUCCEEDED = Math.log((1 - BAD_FAILURE_RATE) / (1 - GOOD_FAILURE_RATE));

	/** How far below the expected mean a rating counts as a bad answer. */
	private static final double BAD_BELOW = 0.25;

	/** How much more often a version that turned bad answers badly. */
	private static final double BAD_RATE_RISE = 0.4;

	/** A good version trips in about one of a million ratings. */
	private static final double RATING_THRESHOLD = 14;

	/** From here on every answer is rated, to know soon. */
	private static final double DOUBT = 2;

	private static final double MIN_RATE = 0.05;

	private static final double MAX_RATE = 0.95;

	/**
	 * How many of a version's answers are rated from its start or its operator's change.
	 */
	private static final int CLOSELY_RATED = 60;

	/** After how many ratings it is known how a version does. */
	private static final int ESTABLISHED = 30;

	/** Over how many ratings. */
	private static final int MEMORY = 400;

	private final Map<Key, Watch> watches = new HashMap<>();

	private final Map<TemplateName, Long> revisions = new HashMap<>();

	private final Map<TemplateName, Set<ModelVersion>> halted = new HashMap<>();

	/**
	 * Starts anew for a template, as its operator has changed it.
	 * @param template the template
	 * @param revision its new revision
	 */
	public void changed(TemplateName template, long revision) {
		this.revisions.put(template, revision);
		this.halted.remove(template);
		this.watches.keySet().removeIf((key) -> key.template().equals(template));
	}

	/**
	 * Notes the end of an attempt.
	 * @param template its template
	 * @param version its version
	 * @param failed whether the backend server failed it
	 * @return the halt that this led to, or empty
	 */
	public Optional<Halt> ended(TemplateName template, ModelVersion version, boolean failed) {
		Watch watch = watch(template, version);
		boolean bad = watch.failures.add(failed ? FAILED : SUCCEEDED);
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
	public Optional<Halt> rated(TemplateName template, ModelVersion version, double expected, double score) {
		Watch watch = watch(template, version);
		boolean poor = score < expected - BAD_BELOW;
		double good = watch.poorRate(expected);
		double risen = Math.min(MAX_RATE, good + BAD_RATE_RISE);
		boolean bad = watch.ratings.add(poor ? Math.log(risen / good) : Math.log((1 - risen) / (1 - good)));
		watch.learn(poor);
		return bad ? halt(template, version, "ratings") : Optional.empty();
	}

	/**
	 * Says whether a version's answers are to be rated closely, as little is known of it
	 * or it may have turned bad.
	 * @param template the template
	 * @param version the version
	 * @return true for its first answers, and while its ratings give cause for doubt
	 */
	public boolean closely(TemplateName template, ModelVersion version) {
		Watch watch = watch(template, version);
		return watch.rated < CLOSELY_RATED || watch.ratings.sum() > DOUBT;
	}

	/**
	 * Takes in another node's halt, unless it is of an older revision.
	 * @param halt the halt
	 */
	public void learn(Halt halt) {
		if (halt.revision() >= this.revisions.getOrDefault(halt.template(), 0L)) {
			this.halted.computeIfAbsent(halt.template(), (name) -> new HashSet<>()).add(halt.version());
		}
	}

	/**
	 * Returns the versions of a template that get no new work.
	 * @param template the template
	 * @return the versions
	 */
	public Set<ModelVersion> halted(TemplateName template) {
		return this.halted.getOrDefault(template, Set.of());
	}

	private Optional<Halt> halt(TemplateName template, ModelVersion version, String reason) {
		Halt halt = new Halt(template, this.revisions.getOrDefault(template, 0L), version, reason);
		boolean first = this.halted.computeIfAbsent(template, (name) -> new HashSet<>()).add(version);
		return first ? Optional.of(halt) : Optional.empty();
	}

	private Watch watch(TemplateName template, ModelVersion version) {
		return this.watches.computeIfAbsent(new Key(template, version), (key) -> new Watch());
	}

	private record Key(TemplateName template, ModelVersion version) {
	}

	private static final class Watch {

		private final ChangeDetector failures = new ChangeDetector(FAILURE_THRESHOLD);

		private final ChangeDetector ratings = new ChangeDetector(RATING_THRESHOLD);

		private int rated;

		private double poorShare;

		/**
		 * Returns how often the version answers badly when it is well: what the operator
		 * expects, or what it has shown if that is more often, as a version that always
		 * was so has not turned bad.
		 */
		double poorRate(double expected) {
			double hoped = Math.clamp(1 - expected, MIN_RATE, MAX_RATE - BAD_RATE_RISE);
			return (this.rated < ESTABLISHED) ? hoped : Math.clamp(this.poorShare, hoped, MAX_RATE - BAD_RATE_RISE);
		}

		void learn(boolean poor) {
			this.rated++;
			double weight = 1.0 / Math.min(this.rated, MEMORY);
			this.poorShare += weight * ((poor ? 1 : 0) - this.poorShare);
		}

	}

}
