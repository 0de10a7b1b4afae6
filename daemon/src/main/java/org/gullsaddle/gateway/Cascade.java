package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.serve.DelayEstimate;
import org.gullsaddle.serve.ModelSelector;
import org.gullsaddle.serve.QueueBounds;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.RetryPolicy;
import org.gullsaddle.serve.RetryReason;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Model cascade of one request: holds the current model and decides whether an answer is
 * dropped in favor of a larger model.
 */
final class Cascade {

	private final SharedRoutingState routingState;

	private final RetryController retries;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final ServedRequest request;

	private final Route route;

	private final RetryPolicy retryPolicy;

	private final RequestPriority priority;

	private String model;

	private String nextModel = "";

	private String doubtedModel = "";

	private int doubtedConfidence = -1;

	/**
	 * Begins with the model that the caller names, or with the first model of the route.
	 */
	Cascade(Gateway gateway, ServedRequest request, RetryPolicy retryPolicy, RequestPriority turn) {
		this.routingState = gateway.routingState();
		this.retries = gateway.retries();
		this.log = gateway.log();
		this.telemetry = gateway.telemetry();
		this.request = request;
		this.route = request.route();
		this.retryPolicy = retryPolicy;
		this.priority = turn;
		this.model = this.route.models().isEmpty() ? request.caller().model()
				: this.routingState.models().firstModel(this.route);
	}

	/**
	 * Returns the current model, empty for a plain service.
	 */
	String model() {
		return this.model;
	}

	/**
	 * Finds a larger model to replace an answer of which nothing was sent to the caller.
	 * @param confidence the model's confidence in its answer
	 * @return the larger model, or empty if the answer is good enough
	 */
	Optional<String> findLargerModel(OptionalInt confidence) {
		ModelSelector models = this.routingState.models();
		if (this.doubtedConfidence >= 0) {
			models.recordComparison(this.doubtedModel, this.doubtedConfidence, this.model, confidence.orElse(-1));
		}
		return models.findLargerModel(this.route, this.model, confidence, this.retryPolicy.isNextAttemptLast());
	}

	/**
	 * Decides whether an answer of low confidence is dropped; if so, {@link #advance}
	 * must follow.
	 * @param confidence the model's confidence in its answer
	 * @param larger the model that would be asked instead
	 * @param choice the replica that would run it, if any
	 * @param remainingMillis the remaining time in milliseconds
	 * @return whether it is dropped
	 */
	boolean decideDrop(int confidence, String larger, Optional<ReplicaChoice> choice, long remainingMillis) {
		String reason = reasonToKeep(confidence, choice, remainingMillis);
		this.log.answerDoubted(this.request.id(), this.model, confidence,
				this.routingState.models().sufficientConfidence(), larger, reason);
		if (reason.isEmpty()) {
			this.doubtedModel = this.model;
			this.doubtedConfidence = confidence;
			this.nextModel = larger;
		}
		return reason.isEmpty();
	}

	/**
	 * Makes the larger model the current one.
	 */
	void advance() {
		this.model = this.nextModel;
	}

	/**
	 * Returns why an answer of low confidence is kept, empty if it is dropped.
	 */
	private String reasonToKeep(int confidence, Optional<ReplicaChoice> choice, long remainingMillis) {
		if (!this.retryPolicy.canDropAnswer(remainingMillis)) {
			return "no attempt or time left";
		}
		if (choice.isEmpty()) {
			return "no replica";
		}
		String tooSlow = reasonTooSlow(confidence, choice.get(), remainingMillis);
		if (!tooSlow.isEmpty()) {
			return tooSlow;
		}
		return this.retries.trySpend(this.request, RetryReason.LOW_CONFIDENCE) ? "" : "no retry left";
	}

	private String reasonTooSlow(int confidence, ReplicaChoice choice, long remainingMillis) {
		ModelSelector models = this.routingState.models();
		if (models.hasQueueBounds()) {
			return reasonNotToQueue(choice, remainingMillis);
		}
		DelayEstimate delay = choice.delay();
		return models.isWorthAsking(this.route, confidence, delay, remainingMillis) ? ""
				: "in " + Math.round(delay.expectedMillis()) + " of " + remainingMillis + " ms";
	}

	private String reasonNotToQueue(ReplicaChoice choice, long remainingMillis) {
		QueueBounds bounds = this.routingState.bounds(this.request.config());
		// Requests beyond a team's share queue behind the other requests of their rank.
		int rank = this.request.rank() + (this.priority.isOverShare() ? 1 : 0);
		boolean joined = this.routingState.models().canJoinQueue(bounds, rank, choice, remainingMillis);
		this.telemetry.count(joined ? "larger.model.queues.joined" : "larger.model.queues.too.long");
		return joined ? "" : "queue of " + Math.round(choice.queueMillis()) + " ms, "
				+ Math.round(bounds.maxQueueMillis(rank)) + " ms for rank " + rank;
	}

}
