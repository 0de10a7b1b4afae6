package org.gullsaddle.suspect;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * When requests with each trait were last seen to go well.
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

	/** The last requests that this node saw go well. */
	private final Deque<Request> recentSuccesses = new ArrayDeque<>();

	/**
	 * Notes that a request went well here.
	 */
	void recordRequest(long now, Collection<Trait> traits) {
		traits.forEach((trait) -> recordTrait(now, trait));
		this.recentSuccesses.addLast(new Request(now, Set.copyOf(traits)));
		if (this.recentSuccesses.size() > MAX_REQUESTS) {
			this.recentSuccesses.removeFirst();
		}
	}

	/**
	 * Notes that a request with a trait went well somewhere.
	 */
	void recordTrait(long at, Trait trait) {
		this.lastSuccesses.merge(trait, at, Math::max);
	}

	boolean hasSuccess(Trait trait) {
		return this.lastSuccesses.containsKey(trait);
	}

	/**
	 * Returns when a request with a trait last went well.
	 */
	long lastSuccessAt(Trait trait) {
		return this.lastSuccesses.getOrDefault(trait, Long.MIN_VALUE);
	}

	/**
	 * Says whether a request without a trait went well here after some time. Requests
	 * without a prompt say nothing of parts: other replicas serve them.
	 */
	boolean hasSuccessWithoutSince(Trait trait, long time) {
		return this.recentSuccesses.stream()
			.anyMatch((request) -> request.at > time && !request.traits.contains(trait)
					&& (!trait.isPart() || request.traits.stream().anyMatch(Trait::isPart)));
	}

	private record Request(long at, Set<Trait> traits) {
	}

}
