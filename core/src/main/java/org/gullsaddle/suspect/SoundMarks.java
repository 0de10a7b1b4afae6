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
final class SoundMarks {

	private static final int MAX_TRAITS = 4096;

	private static final int MAX_REQUESTS = 64;

	private final Map<Trait, Long> marks = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Long> eldest) {
			return size() > MAX_TRAITS;
		}
	};

	/** The last requests that this node saw go well. */
	private final Deque<Request> requests = new ArrayDeque<>();

	/**
	 * Notes that a request went well here.
	 */
	void add(long now, Collection<Trait> traits) {
		traits.forEach((trait) -> mark(now, trait));
		this.requests.addLast(new Request(now, Set.copyOf(traits)));
		if (this.requests.size() > MAX_REQUESTS) {
			this.requests.removeFirst();
		}
	}

	/**
	 * Notes that a request with a trait went well somewhere.
	 */
	void mark(long at, Trait trait) {
		this.marks.merge(trait, at, Math::max);
	}

	boolean any(Trait trait) {
		return this.marks.containsKey(trait);
	}

	/**
	 * Returns when a request with a trait last went well.
	 */
	long last(Trait trait) {
		return this.marks.getOrDefault(trait, Long.MIN_VALUE);
	}

	/**
	 * Says whether a request without a trait went well here after some time. Requests
	 * without a prompt say nothing of parts: other replicas serve them.
	 */
	boolean withoutSince(Trait trait, long time) {
		return this.requests.stream()
			.anyMatch((request) -> request.at > time && !request.traits.contains(trait)
					&& (!trait.isPart() || request.traits.stream().anyMatch(Trait::isPart)));
	}

	private record Request(long at, Set<Trait> traits) {
	}

}
