package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.serve.Choice;
import org.gullsaddle.serve.Delay;
import org.gullsaddle.serve.ModelChooser;
import org.gullsaddle.serve.RetryRule;

/**
 * The models that one request goes through: which it asks now, and whether an answer is
 * dropped for a larger model's.
 */
final class Cascade {

	private final Decisions decisions;

	private final DecisionLog log;

	private final Route route;

	private final RetryRule rule;

	private final String id;

	private String model;

	private String next = "";

	private String doubted = "";

	private int doubtedConfidence = -1;

	/**
	 * Begins with the model that the caller names, or with the first of the route's.
	 */
	Cascade(Decisions decisions, DecisionLog log, Route route, RetryRule rule, CallerRequest caller) {
		this.decisions = decisions;
		this.log = log;
		this.route = route;
		this.rule = rule;
		this.id = caller.attemptId().orElse("");
		this.model = route.models().isEmpty() ? caller.model() : decisions.models().first(route);
	}

	/**
	 * Returns the model that is asked now, empty for a plain service.
	 */
	String model() {
		return this.model;
	}

	/**
	 * Decides on an answer of which the caller has had nothing.
	 * @param confidence the model's own opinion of it
	 * @param pick finds the replica that another model would be asked on
	 * @param left the time left in milliseconds
	 * @return whether it is dropped, so that {@link #goOn} follows
	 */
	boolean drops(OptionalInt confidence, Function<String, Optional<Choice>> pick, long left) {
		ModelChooser models = this.decisions.models();
		if (this.doubtedConfidence >= 0) {
			models.compared(this.doubted, this.doubtedConfidence, this.model, confidence.orElse(-1));
		}
		Optional<String> larger = models.larger(this.route, this.model, confidence, this.rule.nextIsLast());
		if (larger.isEmpty()) {
			return false;
		}
		String kept = whyKept(pick.apply(larger.get()), left);
		this.log.doubted(this.id, this.model, confidence.orElse(0), models.enough(), larger.get(), kept);
		if (kept.isEmpty()) {
			this.doubted = this.model;
			this.doubtedConfidence = confidence.orElse(0);
			this.next = larger.get();
		}
		return kept.isEmpty();
	}

	/**
	 * Goes on with the larger model.
	 */
	void goOn() {
		this.model = this.next;
	}

	/**
	 * Says why an answer that its model doubts is kept all the same, empty if it is not.
	 */
	private String whyKept(Optional<Choice> choice, long left) {
		if (!this.rule.mayDrop(left)) {
			return "no attempt or time left";
		}
		if (choice.isEmpty()) {
			return "no replica";
		}
		Delay delay = choice.get().delay();
		if (!this.decisions.models().inTime(this.route, delay, left)) {
			return "in " + Math.round(delay.expectedMillis()) + " of " + left + " ms";
		}
		return this.decisions.spendRetry() ? "" : "no retry left";
	}

}
