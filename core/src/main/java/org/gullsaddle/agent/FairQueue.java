package org.gullsaddle.agent;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.TeamId;

/**
 * Orders waiting attempts: a higher rank first, then teams by their weights, then
 * arrival.
 * <p>
 * Within a rank each attempt takes the finish tag of weighted fair queueing, so that one
 * team's flood delays its own requests and not those of the others.
 */
final class FairQueue {

	private final TreeSet<AcceptedAttempt> waiting = new TreeSet<>(
			Comparator.<AcceptedAttempt>comparingInt((work) -> -work.dispatch().rank())
				.thenComparingDouble(AcceptedAttempt::finishTag)
				.thenComparingLong(AcceptedAttempt::arrivalNumber));

	private final Map<TeamId, Double> lastFinishTags = new HashMap<>();

	private double virtualTime;

	/**
	 * Gives an attempt the place that it would have if it were added now.
	 */
	void assignFinishTag(AcceptedAttempt work) {
		double start = Math.max(this.virtualTime, this.lastFinishTags.getOrDefault(work.dispatch().team(), 0.0));
		work.assignFinishTag(start + 1 / work.dispatch().weight());
	}

	void add(AcceptedAttempt work) {
		assignFinishTag(work);
		this.lastFinishTags.put(work.dispatch().team(), work.finishTag());
		this.waiting.add(work);
	}

	Optional<AcceptedAttempt> peek() {
		return this.waiting.isEmpty() ? Optional.empty() : Optional.of(this.waiting.first());
	}

	AcceptedAttempt last() {
		return this.waiting.last();
	}

	/**
	 * Says whether an attempt would go before the last one that waits.
	 */
	boolean wouldPrecedeLast(AcceptedAttempt work) {
		return !this.waiting.isEmpty() && this.waiting.headSet(work).size() < this.waiting.size();
	}

	AcceptedAttempt takeFirst() {
		AcceptedAttempt work = this.waiting.pollFirst();
		this.virtualTime = Math.max(this.virtualTime, work.finishTag() - 1 / work.dispatch().weight());
		if (this.waiting.isEmpty()) {
			this.lastFinishTags.clear();
			this.virtualTime = 0;
		}
		return work;
	}

	Optional<AcceptedAttempt> remove(AttemptId attempt) {
		Optional<AcceptedAttempt> found = this.waiting.stream()
			.filter((work) -> work.attempt().equals(attempt))
			.findFirst();
		found.ifPresent(this.waiting::remove);
		return found;
	}

	/**
	 * Takes out all that match, in their order.
	 */
	List<AcceptedAttempt> removeIf(Predicate<AcceptedAttempt> condition) {
		List<AcceptedAttempt> removed = this.waiting.stream().filter(condition).toList();
		removed.forEach(this.waiting::remove);
		return removed;
	}

	/**
	 * Returns how many waiting attempts go before one.
	 */
	int countAhead(AcceptedAttempt work) {
		return this.waiting.headSet(work).size();
	}

	int size() {
		return this.waiting.size();
	}

}
