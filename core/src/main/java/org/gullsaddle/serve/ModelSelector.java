package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.gullsaddle.fleet.Route;

/**
 * Selects among a route's models: the smallest first, and a larger one if the smallest
 * reports low confidence in its answer. Confined to one thread.
 * <p>
 * The largest model is many times slower. Under load its queues make all answers late,
 * also those of the small model that run beside it. So the confidence that counts as
 * sufficient falls by a ratio with each late answer of the largest model, and rises a
 * little with each that is in time: under load only the answers that are most likely
 * wrong are replaced.
 * <p>
 * An answer with low confidence is replaced if the larger model's answer is likely enough
 * to be in time. The required probability is learned as well: while the larger model's
 * answers are in time, one that may be late is worth more than one that is surely wrong;
 * once they are late, further requests would delay others.
 */
public final class ModelSelector {

	/** Always sufficient: most answers with this confidence are good. */
	private static final double MAX_SUFFICIENT_CONFIDENCE = 60;

	/** Never sufficient: answers below are surely wrong. */
	private static final double MIN_SUFFICIENT_CONFIDENCE = 4;

	private static final double CONFIDENCE_RISE = 0.8;

	private static final double CONFIDENCE_FALL_RATIO = 0.85;

	/** A first event later than this share of the objective counts as late. */
	private static final double LATE_RATIO = 0.75;

	/**
	 * The probability to start in time that a larger model needs while its answers are
	 * late. Below it, the large model's answers queue behind each other, and the caller
	 * is better served by the answer at hand.
	 */
	private static final double MAX_REQUIRED_PROBABILITY = 0.8;

	/** The probability that it needs while all its answers are in time. */
	private static final double MIN_REQUIRED_PROBABILITY = 0.2;

	/** How much that probability falls with each answer in time. */
	private static final double PROBABILITY_FALL = 0.02;

	/** How much it rises with each late answer. */
	private static final double PROBABILITY_RISE = 0.2;

	/**
	 * By how much the larger model's probability to be in time must exceed the
	 * probability that the present answer is good.
	 */
	private static final double MIN_PROBABILITY_GAIN = 0.25;

	/**
	 * Applies before a node has observed any load, as after a restart, when many callers
	 * retry at once.
	 */
	private static final double INITIAL_SUFFICIENT_CONFIDENCE = 55;

	/**
	 * The expected confidence from which a model between the smallest and the largest is
	 * asked. A little over one half: if its confidence is low as well, a quarter of the
	 * largest model's time was wasted; if not, three quarters are saved.
	 */
	private static final double MIN_EXPECTED_CONFIDENCE = 52;

	/**
	 * Sufficient where queue bounds decide which requests get a larger model: such an
	 * answer is as likely good as not.
	 */
	private static final double BOUNDED_SUFFICIENT_CONFIDENCE = 50;

	/** The probability to start before the deadline that a larger model needs there. */
	private static final double BOUNDED_MIN_PROBABILITY = 0.5;

	private final ConfidenceGains gains = new ConfidenceGains();

	private final boolean queueBounded;

	private double sufficientConfidence = INITIAL_SUFFICIENT_CONFIDENCE;

	private double requiredProbability = MAX_REQUIRED_PROBABILITY;

	/**
	 * Creates a selector that adapts the sufficient confidence to late answers.
	 */
	public ModelSelector() {
		this(false);
	}

	private ModelSelector(boolean queueBounded) {
		this.queueBounded = queueBounded;
	}

	/**
	 * Creates a selector for load above the capacity: the larger model's queue and the
	 * rank of a request decide.
	 * @return the selector
	 */
	public static ModelSelector withQueueBounds() {
		return new ModelSelector(true);
	}

	/**
	 * Drops what was learned of models that are no longer configured.
	 * @param models the models to keep
	 */
	public void retain(Set<String> models) {
		this.gains.retain(models);
	}

	/**
	 * Returns the model to ask first.
	 * @param route the route, with one model or more
	 * @return the smallest model
	 */
	public String firstModel(Route route) {
		return route.models().get(0);
	}

	/**
	 * Returns the model to ask in place of one that reported low confidence: the smallest
	 * that is expected to be confident of its answer, or the largest.
	 * @param route the route
	 * @param model the model that answered
	 * @param confidence its confidence, 0 to 100, if it reported one
	 * @param lastAttempt whether the next attempt is the last one, which always goes to
	 * the largest model
	 * @return the larger model, or empty if the answer is to be kept
	 */
	public Optional<String> findLargerModel(Route route, String model, OptionalInt confidence, boolean lastAttempt) {
		List<String> models = route.models();
		int index = models.indexOf(model);
		if (confidence.isEmpty() || confidence.getAsInt() >= sufficientConfidence() || index < 0
				|| index == models.size() - 1) {
			return Optional.empty();
		}
		for (int i = index + 1; i < models.size() - 1 && !lastAttempt; i++) {
			if (confidence.getAsInt() + this.gains.expectedGain(model, models.get(i)) >= MIN_EXPECTED_CONFIDENCE) {
				return Optional.of(models.get(i));
			}
		}
		return Optional.of(largestModel(route));
	}

	/**
	 * Records the confidence of two models in their answers to the same request.
	 * @param model the model that was asked first
	 * @param confidence its confidence, 0 to 100
	 * @param larger the model that was asked next
	 * @param largerConfidence its confidence, 0 to 100, negative if it reported none
	 */
	public void recordComparison(String model, int confidence, String larger, int largerConfidence) {
		this.gains.recordComparison(model, confidence, larger, largerConfidence);
	}

	/**
	 * Returns whether a larger model's answer is worth more than the present one.
	 * @param route the route
	 * @param confidence the confidence of the present answer's model
	 * @param delay when the larger model's first event is expected
	 * @param remainingMillis the time left, in milliseconds
	 * @return true if it is worth asking
	 */
	public boolean isWorthAsking(Route route, int confidence, DelayEstimate delay, long remainingMillis) {
		double inTime = delay.probabilityWithin(Math.min(route.targetMillis(), remainingMillis));
		return inTime >= Math.max(this.requiredProbability,
				Math.min(MAX_REQUIRED_PROBABILITY, Confidence.probabilityGood(confidence) + MIN_PROBABILITY_GAIN));
	}

	/**
	 * Returns whether a request may join a larger model's queue.
	 * @param bounds how long that queue may be
	 * @param rank the request's rank
	 * @param choice the replica that would run the larger model
	 * @param remainingMillis the time left, in milliseconds
	 * @return true if it may
	 */
	public boolean canJoinQueue(QueueBounds bounds, int rank, ReplicaChoice choice, long remainingMillis) {
		return choice.queueMillis() <= bounds.maxQueueMillis(rank)
				&& choice.delay().probabilityWithin(remainingMillis) >= BOUNDED_MIN_PROBABILITY;
	}

	/**
	 * Returns whether queue bounds decide which requests get a larger model.
	 * @return true if they do
	 */
	public boolean hasQueueBounds() {
		return this.queueBounded;
	}

	/**
	 * Records whether the largest model met the objectives; answers of other models are
	 * ignored.
	 * @param route the route
	 * @param model the model
	 * @param firstMillis how long its first event took, in milliseconds
	 * @param gapMillis the longest pause between its events, in milliseconds
	 */
	public void recordAnswer(Route route, String model, long firstMillis, long gapMillis) {
		if (route.models().isEmpty() || !model.equals(largestModel(route))) {
			return;
		}
		boolean missedTarget = firstMillis > route.targetMillis();
		this.requiredProbability = Math.clamp(
				this.requiredProbability + (missedTarget ? PROBABILITY_RISE : -PROBABILITY_FALL),
				MIN_REQUIRED_PROBABILITY, MAX_REQUIRED_PROBABILITY);
		boolean late = firstMillis > LATE_RATIO * route.targetMillis()
				|| (route.gapMillis() > 0 && gapMillis > route.gapMillis());
		this.sufficientConfidence = late
				? Math.max(MIN_SUFFICIENT_CONFIDENCE, this.sufficientConfidence * CONFIDENCE_FALL_RATIO)
				: Math.min(MAX_SUFFICIENT_CONFIDENCE, this.sufficientConfidence + CONFIDENCE_RISE);
	}

	/**
	 * Returns the confidence that is sufficient now.
	 * @return 0 to 100
	 */
	public double sufficientConfidence() {
		return this.queueBounded ? BOUNDED_SUFFICIENT_CONFIDENCE : this.sufficientConfidence;
	}

	private static String largestModel(Route route) {
		return route.models().get(route.models().size() - 1);
	}

}
