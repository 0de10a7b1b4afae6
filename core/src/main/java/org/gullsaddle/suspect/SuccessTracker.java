package org.gullsaddle.suspect;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks when a request with each trait last succeeded. Times are in milliseconds.
 */
final class SuccessTracker {

	private static final int MAX_TRAITS = 4096;

	private static final int MAX_REQUESTS = 64;

	private final Map<Trait, Long> lastSuccesses = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Long> eldest) {
			return size() > MAX_TRAITS;
		}
	};

	/** Requests whose answers go well so far, by the attempt that runs them. */
	private final Map<Object, Request> running = new LinkedHashMap<>();

	/** The most recent requests that succeeded at this node. */
	private final Deque<Request> recentSuccesses = new ArrayDeque<>();

	/**
	 * Records a request's success at this node.
	 */
	void recordRequest(long now, Collection<Trait> traits) {
		traits.forEach((trait) -> recordTrait(now, trait));
		this.recentSuccesses.addLast(new Request(now, Set.copyOf(traits)));
		if (this.recentSuccesses.size() > MAX_REQUESTS) {
			this.recentSuccesses.removeFirst();
		}
	}

	/**
	 * Records that a request's answer goes well so far.
	 * @param attempt the attempt that runs it, until {@link #endRunning}
	 */
	void recordRunning(Object attempt, long now, Collection<Trait> traits) {
		this.running.put(attempt, new Request(now, Set.copyOf(traits)));
	}

	/**
	 * Forgets a running request, as its attempt has ended.
	 */
	void endRunning(Object attempt) {
		this.running.remove(attempt);
	}

	/**
	 * Records the success of a request with a trait at any node.
	 */
	void recordTrait(long at, Trait trait) {
		this.lastSuccesses.merge(trait, at, Math::max);
	}

	boolean hasSuccess(Trait trait) {
		return this.lastSuccesses.containsKey(trait);
	}

	/**
	 * Returns when a request with a trait last succeeded, or {@link Long#MIN_VALUE}.
	 */
	long lastSuccessAt(Trait trait) {
		return this.lastSuccesses.getOrDefault(trait, Long.MIN_VALUE);
	}

	/**
	 * Returns the latest moment at which a request with a trait succeeded, or went well
	 * and still runs, or {@link Long#MIN_VALUE}.
	 */
	long lastSoundAt(Trait trait) {
		return this.running.values()
			.stream()
			.filter((request) -> request.traits.contains(trait))
			.mapToLong(Request::at)
			.reduce(lastSuccessAt(trait), Math::max);
	}

	/**
	 * Returns whether a request without a trait succeeded at this node after some time.
	 * For a part, requests without a prompt do not count, as other replicas serve them.
	 */
	boolean hasSuccessWithoutSince(Trait trait, long time) {
		return this.recentSuccesses.stream()
			.anyMatch((request) -> request.at > time && !request.traits.contains(trait)
					&& (!trait.isPart() || request.traits.stream().anyMatch(Trait::isPart)));
	}

	private record Request(long at, Set<Trait> traits) {
	}

}
