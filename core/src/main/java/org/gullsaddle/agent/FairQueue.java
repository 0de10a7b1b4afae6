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
 * Orders the queued attempts by rank, the higher first, then fairly between teams by
 * their weights, then by arrival.
 * <p>
 * Within a rank, attempts are ordered by the finish tags of weighted fair queueing, so
 * that a burst of one team delays its own requests and not those of other teams.
 */
final class FairQueue {

	private final TreeSet<DispatchedAttempt> waiting = new TreeSet<>(
			Comparator.<DispatchedAttempt>comparingInt((work) -> -work.dispatch().rank())
				.thenComparingDouble(DispatchedAttempt::finishTag)
				.thenComparingLong(DispatchedAttempt::arrivalNumber));

	private final Map<TeamId, Double> lastFinishTags = new HashMap<>();

	private double virtualTime;

	/**
	 * Sets the finish tag that an attempt gets if it is added now.
	 */
	void assignFinishTag(DispatchedAttempt work) {
		double start = Math.max(this.virtualTime, this.lastFinishTags.getOrDefault(work.dispatch().team(), 0.0));
		work.assignFinishTag(start + 1 / work.dispatch().weight());
	}

	void add(DispatchedAttempt work) {
		assignFinishTag(work);
		this.lastFinishTags.put(work.dispatch().team(), work.finishTag());
		this.waiting.add(work);
	}

	Optional<DispatchedAttempt> peek() {
		return this.waiting.isEmpty() ? Optional.empty() : Optional.of(this.waiting.first());
	}

	DispatchedAttempt last() {
		return this.waiting.last();
	}

	/**
	 * Returns whether an attempt would be placed before the last queued one.
	 */
	boolean wouldPrecedeLast(DispatchedAttempt work) {
		return !this.waiting.isEmpty() && this.waiting.headSet(work).size() < this.waiting.size();
	}

	DispatchedAttempt takeFirst() {
		DispatchedAttempt work = this.waiting.pollFirst();
		this.virtualTime = Math.max(this.virtualTime, work.finishTag() - 1 / work.dispatch().weight());
		if (this.waiting.isEmpty()) {
			this.lastFinishTags.clear();
			this.virtualTime = 0;
		}
		return work;
	}

	Optional<DispatchedAttempt> remove(AttemptId attempt) {
		Optional<DispatchedAttempt> found = this.waiting.stream()
			.filter((work) -> work.attempt().equals(attempt))
			.findFirst();
		found.ifPresent(this.waiting::remove);
		return found;
	}

	/**
	 * Removes all matching attempts and returns them in order.
	 */
	List<DispatchedAttempt> removeIf(Predicate<DispatchedAttempt> condition) {
		List<DispatchedAttempt> removed = this.waiting.stream().filter(condition).toList();
		removed.forEach(this.waiting::remove);
		return removed;
	}

	/**
	 * Returns the number of queued attempts before the given one.
	 */
	int countAhead(DispatchedAttempt work) {
		return this.waiting.headSet(work).size();
	}

	int size() {
		return this.waiting.size();
	}

}
