package org.gullsaddle.suspect;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The crashes that any node saw, weighed against the requests that went well.
 * <p>
 * Crashes in one moment are one piece of evidence, as a rack may have failed; a request
 * that came to a replica only after the crash before is one of its own. What was sound
 * before needs more of them, and others that went well meanwhile. Of several traits the
 * one that was never sound is worst, and what a refused part explains is evidence against
 * no other. Where several are nearly as bad, others' news are awaited for a moment.
 */
final class CrashEvidence {

	/**
	 * At how many crashes a part must have been. A rare part that has nothing to do with
	 * them is at one crash in ten at most, and ever so rarely at all of four.
	 */
	private static final int CRASHES_OF_PART = 4;

	/**
	 * The same for a content. With two, a stream that is moved from one replica of a
	 * failing rack to another one would be refused.
	 */
	private static final int CRASHES_OF_CONTENT = 3;

	/**
	 * The same for what was sound before, and for a part under one model, which other
	 * models may have borne.
	 */
	private static final int CRASHES_OF_SOUND = 6;

	/** How far apart crashes are that do not have one cause, in milliseconds. */
	private static final long APART_MILLIS = 300;

	/** How long a crash is remembered, in milliseconds. */
	static final long MEMORY_MILLIS = 300_000;

	/** How long a crash that is explained may still grow, in milliseconds. */
	private static final long EXPLAINED_MILLIS = 10_000;

	/**
	 * How long others' news are awaited while another part is at nearly as many crashes,
	 * in milliseconds: what one node saw of a crash may come before what another did.
	 */
	private static final long RIVALS_MILLIS = 1000;

	private static final int MAX_CRASHES = 100;

	private static final int MAX_LIVING = 100;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	private final SoundMarks sound = new SoundMarks();

	/** Since when there is enough evidence against a trait, in milliseconds. */
	private final Map<Trait, Long> enoughSince = new HashMap<>();

	/** Says which traits are refused. */
	private final Predicate<Trait> refused;

	/** When processes that had been taken for dead were last known to live. */
	private final Map<String, Long> living = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_LIVING;
		}
	};

	CrashEvidence(Predicate<Trait> refused) {
		this.refused = refused;
	}

	SoundMarks sound() {
		return this.sound;
	}

	/**
	 * Takes a crash in.
	 * @return whether it was not known of before
	 */
	boolean add(Crash crash) {
		if (this.living.getOrDefault(crash.process(), Long.MIN_VALUE) > crash.at()) {
			return false;
		}
		Crash known = this.crashes.get(crash.process());
		this.crashes.put(crash.process(), (known != null) ? known.and(crash) : crash);
		if (this.crashes.size() > MAX_CRASHES) {
			this.crashes.remove(this.crashes.keySet().iterator().next());
		}
		return known == null;
	}

	/**
	 * Takes a crash back, as its process lives.
	 * @param sentAt when it was sent the request that it answers, in milliseconds
	 * @return whether there was one
	 */
	boolean alive(String process, long sentAt) {
		Crash known = this.crashes.get(process);
		if (known == null || known.at() >= sentAt) {
			return false;
		}
		this.crashes.remove(process);
		this.living.put(process, sentAt);
		return true;
	}

	boolean any() {
		return !this.crashes.isEmpty();
	}

	int countWith(Trait trait) {
		return (int) this.crashes.values().stream().filter((crash) -> crash.has(trait)).count();
	}

	void forget(long now) {
		this.crashes.values().removeIf((crash) -> {
			long age = now - crash.at();
			return age >= MEMORY_MILLIS || (age >= EXPLAINED_MILLIS && explained(crash));
		});
	}

	/**
	 * Returns the crashes that no refused part explains, in their order.
	 */
	List<Crash> open() {
		return this.crashes.values()
			.stream()
			.filter((crash) -> !explained(crash))
			.sorted(Comparator.comparingLong(Crash::at))
			.toList();
	}

	private boolean explained(Crash crash) {
		return crash.traits().stream().anyMatch((trait) -> trait.isPart() && this.refused.test(trait));
	}

	/**
	 * Says whether a trait is a content that was at a crash which a part explains.
	 */
	boolean explainedByPart(Trait trait) {
		return !trait.isPart()
				&& this.crashes.values().stream().anyMatch((crash) -> crash.has(trait) && explained(crash));
	}

	/**
	 * Returns the traits that were at several open crashes.
	 */
	List<Trait> accused(Collection<Trait> traits) {
		List<Crash> open = open();
		return traits.stream()
			.filter((trait) -> open.stream().filter((crash) -> crash.has(trait)).count() > 1)
			.toList();
	}

	/**
	 * Returns what is to be refused next, if anything is.
	 */
	Optional<Accused> worst(long now) {
		List<Crash> open = open();
		Set<Trait> traits = new LinkedHashSet<>();
		open.forEach((crash) -> traits.addAll(crash.traits()));
		List<Accused> accused = traits.stream()
			.filter((trait) -> !this.refused.test(trait))
			.map((trait) -> accuse(trait, open))
			.toList();
		List<Accused> enough = accused.stream().filter(this::isEnough).toList();
		this.enoughSince.keySet().retainAll(enough.stream().map(Accused::trait).toList());
		enough.forEach((one) -> this.enoughSince.putIfAbsent(one.trait(), now));
		return enough.stream()
			.min(Comparator.comparing(Accused::soundBefore)
				.thenComparing((one) -> one.trait().kind())
				.thenComparing((one) -> -one.crashes())
				.thenComparing(Accused::trait))
			.filter((worst) -> now - this.enoughSince.get(worst.trait()) >= RIVALS_MILLIS
					|| accused.stream().noneMatch((other) -> rivals(other, worst)));
	}

	/**
	 * Says whether a part may turn out to be at more crashes than the worst trait.
	 */
	private static boolean rivals(Accused other, Accused worst) {
		return !other.trait().equals(worst.trait()) && other.trait().kind() == Trait.Kind.PART && !other.soundBefore()
				&& other.crashes() >= worst.crashes() - 1;
	}

	private boolean isEnough(Accused one) {
		return one.crashes() >= needed(one.trait(), one.soundBefore())
				&& (!one.soundBefore() || this.sound.withoutSince(one.trait(), one.firstAt()));
	}

	private Accused accuse(Trait trait, List<Crash> open) {
		long soundAt = this.sound.last(trait);
		int count = 0;
		long first = Long.MAX_VALUE;
		long last = Long.MIN_VALUE / 2;
		for (Crash crash : open) {
			boolean counts = crash.has(trait) && crash.at() > soundAt
					&& (crash.at() - last >= APART_MILLIS || crash.startedAt(trait) >= last);
			if (counts) {
				count++;
				last = crash.at();
				first = Math.min(first, last);
			}
		}
		boolean soundBefore = this.sound.any(trait) || trait.kind() == Trait.Kind.PART_UNDER_MODEL;
		return new Accused(trait, soundBefore, count, first, last);
	}

	private static int needed(Trait trait, boolean soundBefore) {
		if (soundBefore) {
			return CRASHES_OF_SOUND;
		}
		return trait.isPart() ? CRASHES_OF_PART : CRASHES_OF_CONTENT;
	}

	/**
	 * What speaks against a trait.
	 *
	 * @param trait the trait
	 * @param soundBefore whether requests with it went well, or may have, before
	 * @param crashes how many crashes speak against it
	 * @param firstAt when the first of them was, in milliseconds
	 * @param lastAt when the last of them was, in milliseconds
	 */
	record Accused(Trait trait, boolean soundBefore, int crashes, long firstAt, long lastAt) {
	}

}
