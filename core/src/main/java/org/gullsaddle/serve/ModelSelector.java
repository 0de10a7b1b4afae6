package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.fleet.Route;

/**
 * Chooses among a route's models: the smallest first, and a larger one if the smallest
 * doubts its own answer. Confined to one thread.
 * <p>
 * The largest takes many times as long. When many ask for it, its queues make all answers
 * late, also those of the small model that run beside it. So the confidence that is
 * enough falls by a part with each late answer of the largest, and rises a little with
 * each in time: under load only the answers that are most likely wrong are replaced.
 * <p>
 * A doubted answer is replaced if the larger model's is likely in time. How likely it
 * must be is learned too: while its answers are in time, one that may be late is still
 * worth more than one that is surely wrong; where they are late, asking for more of them
 * makes others late.
 */
public final class ModelSelector {

	/** The confidence that is always enough: most answers told with it are good. */
	private static final double MAX_SUFFICIENT_CONFIDENCE = 60;

	/** The answers that are surely wrong lie below it. */
	private static final double MIN_SUFFICIENT_CONFIDENCE = 4;

	private static final double CONFIDENCE_RISE = 0.8;

	private static final double CONFIDENCE_FALL_RATIO = 0.85;

	/** The part of the objective after which a first event counts as late. */
	private static final double LATE_RATIO = 0.75;

	/**
	 * The chance to begin in time that a larger model must have where its answers were
	 * late: below it the large answers queue behind each other, and the caller is better
	 * served by what is there.
	 */
	private static final double MAX_REQUIRED_PROBABILITY = 0.8;

	/** The same where they were all in time. */
	private static final double MIN_REQUIRED_PROBABILITY = 0.2;

	/** By how much that chance falls with an answer in time. */
	private static final double PROBABILITY_FALL = 0.02;

	/** By how much it rises with a late one. */
	private static final double PROBABILITY_RISE = 0.2;

	/**
	 * How much more likely in time the larger model's answer must be than the doubted one
	 * is to be good.
	 */
	private static final double MIN_PROBABILITY_GAIN = 0.25;

	/**
	 * Where a node begins that knows nothing of the load, as after a restart, when many
	 * callers come back at once.
	 */
	private static final double INITIAL_SUFFICIENT_CONFIDENCE = 55;

	/**
	 * The confidence that is expected of a model between the smallest and the largest
	 * where it is asked. A little over a half: if it doubts its answer too, a quarter of
	 * the largest model's time was spent in vain; if not, three quarters are saved.
	 */
	private static final double MIN_EXPECTED_CONFIDENCE = 52;

	/**
	 * The confidence that is enough where a queue's bound decides who gets a larger
	 * model: an answer that is told with it is as likely good as not.
	 */
	private static final double BOUNDED_SUFFICIENT_CONFIDENCE = 50;

	/** The chance to begin before the deadline that a larger model must have there. */
	private static final double BOUNDED_MIN_PROBABILITY = 0.5;

	private final ConfidenceGains gains = new ConfidenceGains();

	private final boolean queueBounded;

	private double sufficientConfidence = INITIAL_SUFFICIENT_CONFIDENCE;

	private double requiredProbability = MAX_REQUIRED_PROBABILITY;

	/**
	 * Makes a chooser that learns what is enough from answers that are late.
	 */
	public ModelSelector() {
		this(false);
	}

	private ModelSelector(boolean bounded) {
		this.queueBounded = bounded;
	}

	/**
	 * Makes a chooser for load that competes for too little room: the larger model's
	 * queue decides, and how urgent a request is.
	 * @return the chooser
	 */
	public static ModelSelector withQueueBounds() {
		return new ModelSelector(true);
	}

	/**
	 * Returns the model to ask first.
	 * @param route the route, with one model or more
	 * @return the model
	 */
	public String firstModel(Route route) {
		return route.models().get(0);
	}

	/**
	 * Returns the model to ask in place of one that doubts its answer: the smallest that
	 * will likely trust its own, or the largest.
	 * @param route the route
	 * @param model the model that answered
	 * @param confidence its own opinion of the answer, 0 to 100, if it told
	 * @param last whether the next attempt is the last one, which only the largest makes
	 * @return the larger model, or empty if the answer is to be kept
	 */
	public Optional<String> findLargerModel(Route route, String model, OptionalInt confidence, boolean last) {
		List<String> models = route.models();
		int asked = models.indexOf(model);
		if (confidence.isEmpty() || confidence.getAsInt() >= sufficientConfidence() || asked < 0
				|| asked == models.size() - 1) {
			return Optional.empty();
		}
		for (int i = asked + 1; i < models.size() - 1 && !last; i++) {
			if (confidence.getAsInt() + this.gains.expectedGain(model, models.get(i)) >= MIN_EXPECTED_CONFIDENCE) {
				return Optional.of(models.get(i));
			}
		}
		return Optional.of(largestModel(route));
	}

	/**
	 * Learns from two models' opinions of one request.
	 * @param model the model that was asked first
	 * @param confidence its opinion, 0 to 100
	 * @param larger the model that was asked next
	 * @param largerConfidence its opinion, 0 to 100, negative if it told none
	 */
	public void recordComparison(String model, int confidence, String larger, int largerConfidence) {
		this.gains.recordComparison(model, confidence, larger, largerConfidence);
	}

	/**
	 * Says whether a larger model's answer is worth more than a doubted one.
	 * @param route the route
	 * @param confidence the opinion that the doubted answer's model has of it
	 * @param delay when the larger model's first event is expected
	 * @param leftMillis the time left, in milliseconds
	 * @return true if it is worth asking
	 */
	public boolean isWorthAsking(Route route, int confidence, DelayEstimate delay, long leftMillis) {
		double inTime = delay.probabilityWithin(Math.min(route.targetMillis(), leftMillis));
		return inTime >= Math.max(this.requiredProbability,
				Math.min(MAX_REQUIRED_PROBABILITY, Confidence.probabilityGood(confidence) + MIN_PROBABILITY_GAIN));
	}

	/**
	 * Says whether a request may join a larger model's queue.
	 * @param bounds how long that queue may be
	 * @param rank the request's rank
	 * @param choice where the larger model would run
	 * @param leftMillis the time left, in milliseconds
	 * @return true if it may
	 */
	public boolean canJoinQueue(QueueBounds bounds, int rank, ReplicaChoice choice, long leftMillis) {
		return choice.queueMillis() <= bounds.maxQueueMillis(rank)
				&& choice.delay().probabilityWithin(leftMillis) >= BOUNDED_MIN_PROBABILITY;
	}

	/**
	 * Says whether a queue's bound decides who gets a larger model.
	 * @return true if it does
	 */
	public boolean hasQueueBounds() {
		return this.queueBounded;
	}

	/**
	 * Notes how a larger model kept to the objectives.
	 * @param route the route
	 * @param model the model
	 * @param firstMillis how long its first event took, in milliseconds
	 * @param gapMillis the longest pause between its events, in milliseconds
	 */
	public void recordAnswer(Route route, String model, long firstMillis, long gapMillis) {
		if (route.models().isEmpty() || !model.equals(largestModel(route))) {
			return;
		}
		boolean missed = firstMillis > route.targetMillis();
		this.requiredProbability = Math.clamp(
				this.requiredProbability + (missed ? PROBABILITY_RISE : -PROBABILITY_FALL), MIN_REQUIRED_PROBABILITY,
				MAX_REQUIRED_PROBABILITY);
		boolean late = firstMillis > LATE_RATIO * route.targetMillis()
				|| (route.gapMillis() > 0 && gapMillis > route.gapMillis());
		this.sufficientConfidence = late
				? Math.max(MIN_SUFFICIENT_CONFIDENCE, this.sufficientConfidence * CONFIDENCE_FALL_RATIO)
				: Math.min(MAX_SUFFICIENT_CONFIDENCE, this.sufficientConfidence + CONFIDENCE_RISE);
	}

	/**
	 * Returns the confidence that is enough now.
	 * @return 0 to 100
	 */
	public double sufficientConfidence() {
		return this.queueBounded ? BOUNDED_SUFFICIENT_CONFIDENCE : this.sufficientConfidence;
	}

	private static String largestModel(Route route) {
		return route.models().get(route.models().size() - 1);
	}

}
