package org.gullsaddle.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

/**
 * The crashes that any node saw, weighed against the requests that went well.
 * <p>
 * Crashes in one moment are one piece of evidence, as a rack may have failed; a request
 * that came to a replica only after the crash before is one of its own. Where all that
 * ended in a moment ran copies of one content, they are two. What was sound before needs
 * more, and others that went well meanwhile. Of several traits the one that was never
 * sound is worst. A part that was only at crashes of one content is not to blame for
 * them, and what is refused explains its crashes: they are evidence against a content
 * only together with one that it had when what explains them was refused already. Where
 * several are nearly as bad, others' news are awaited for a moment.
 */
final class CrashEvidence {

	/**
	 * At how many crashes a part must have been. A rare part that has nothing to do with
	 * them is at one crash in ten at most, and ever so rarely at all of four.
	 */
	private static final int PART_CRASH_THRESHOLD = 4;

	/**
	 * The same for a content. With two, a stream that is moved from one replica of a
	 * failing rack to another one would be refused.
	 */
	private static final int CONTENT_CRASH_THRESHOLD = 3;

	/**
	 * The same for a part that was sound before, and for a part under one model, which
	 * other models may have borne.
	 */
	private static final int PRIOR_SUCCESS_CRASH_THRESHOLD = 6;

	/** How far apart crashes are that do not have one cause, in milliseconds. */
	private static final long MIN_CRASH_GAP_MILLIS = 300;

	/** How long a crash is remembered, in milliseconds. */
	static final long RETENTION_MILLIS = 300_000;

	/**
	 * How long others' news are awaited while another part is at nearly as many crashes,
	 * in milliseconds: what one node saw of a crash may come before what another did.
	 */
	private static final long RIVAL_WAIT_MILLIS = 1000;

	private static final int MAX_CRASHES = 100;

	private static final int MAX_REVIVED = 100;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	private final SuccessTracker successes = new SuccessTracker();

	/** Since when there is enough evidence against a trait, in milliseconds. */
	private final Map<Trait, Long> sufficientSince = new HashMap<>();

	/** Since when each trait is refused that is. */
	private final Function<Trait, OptionalLong> blockedSince;

	/** When this node began to see what goes well, in milliseconds. */
	private long observingSince = Long.MAX_VALUE;

	/** When processes that had been taken for dead were last known to live. */
	private final Map<String, Long> revivedAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REVIVED;
		}
	};

	CrashEvidence(Function<Trait, OptionalLong> refusedSince) {
		this.blockedSince = refusedSince;
	}

	/**
	 * Notes that this node sees what goes well from some time on, if not before.
	 */
	void observeFrom(long now) {
		this.observingSince = Math.min(this.observingSince, now);
	}

	SuccessTracker successes() {
		return this.successes;
	}

	/**
	 * Takes a crash in.
	 * @return whether it was not known of before
	 */
	boolean addCrash(Crash crash) {
		if (this.revivedAt.getOrDefault(crash.processName(), Long.MIN_VALUE) > crash.at()) {
			return false;
		}
		Crash known = this.crashes.get(crash.processName());
		this.crashes.put(crash.processName(), (known != null) ? known.merge(crash) : crash);
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
	boolean retractCrash(String process, long sentAt) {
		Crash known = this.crashes.get(process);
		if (known == null || known.at() >= sentAt) {
			return false;
		}
		this.crashes.remove(process);
		this.revivedAt.put(process, sentAt);
		return true;
	}

	boolean hasCrashes() {
		return !this.crashes.isEmpty();
	}

	Optional<Crash> findCrash(String process) {
		return Optional.ofNullable(this.crashes.get(process));
	}

	int crashCount(Trait trait) {
		return (int) this.crashes.values().stream().filter((crash) -> crash.hasTrait(trait)).count();
	}

	void expire(long now) {
		this.crashes.values().removeIf((crash) -> now - crash.at() >= RETENTION_MILLIS);
	}

	/**
	 * Returns the crashes that no refused part explains, in their order.
	 */
	List<Crash> unexplainedCrashes() {
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.traits().stream().noneMatch((trait) -> trait.isPart() && isBlocked(trait)))
			.sorted(Comparator.comparingLong(Crash::at))
			.toList();
	}

	private boolean isBlocked(Trait trait) {
		return this.blockedSince.apply(trait).isPresent();
	}

	/**
	 * Says whether a content was at a crash which something else that is refused
	 * explains, and is not to blame for enough of the others.
	 */
	boolean isExplained(Trait trait) {
		if (trait.isPart()) {
			return false;
		}
		List<Crash> with = crashesWith(trait);
		return with.stream().anyMatch((crash) -> explainedSince(crash, trait).isPresent())
				&& !isSufficient(weigh(trait, with));
	}

	private List<Crash> crashesWith(Trait trait) {
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.hasTrait(trait))
			.sorted(Comparator.comparingLong(Crash::at))
			.toList();
	}

	/**
	 * Returns since when something else is refused that explains a crash at which a trait
	 * was. A refused content explains it for other contents only: requests without it may
	 * have the part, too.
	 */
	private OptionalLong explainedSince(Crash crash, Trait trait) {
		return crash.traits()
			.stream()
			.filter((other) -> !other.equals(trait) && (other.isPart() || !trait.isPart()))
			.map(this.blockedSince)
			.flatMapToLong(OptionalLong::stream)
			.min();
	}

	/**
	 * Returns the traits that were at several open crashes.
	 */
	List<Trait> repeatedSuspects(Collection<Trait> traits) {
		List<Crash> open = unexplainedCrashes();
		return traits.stream()
			.filter((trait) -> open.stream().filter((crash) -> crash.hasTrait(trait)).count() > 1)
			.toList();
	}

	/**
	 * Returns what is to be refused next, if anything is.
	 */
	Optional<TraitEvidence> findNextToBlock(long now) {
		List<TraitEvidence> accused = crashesByTrait().entrySet()
			.stream()
			.filter((suspect) -> suspect.getValue().size() > 1 && !isBlocked(suspect.getKey()))
			.map((suspect) -> weigh(suspect.getKey(), suspect.getValue()))
			.toList();
		List<TraitEvidence> enough = accused.stream().filter(this::isSufficient).toList();
		this.sufficientSince.keySet().retainAll(enough.stream().map(TraitEvidence::trait).toList());
		enough.forEach((one) -> this.sufficientSince.putIfAbsent(one.trait(), now));
		return enough.stream()
			.min(Comparator.comparing(TraitEvidence::hadSuccess)
				.thenComparing((one) -> one.trait().kind())
				.thenComparing((one) -> -one.crashCount())
				.thenComparing(TraitEvidence::totalRunMillis)
				.thenComparing(TraitEvidence::trait))
			.filter((worst) -> now - this.sufficientSince.get(worst.trait()) >= RIVAL_WAIT_MILLIS
					|| accused.stream().noneMatch((other) -> isRival(other, worst)));
	}

	/**
	 * Returns the crashes of each trait, in their order.
	 */
	private Map<Trait, List<Crash>> crashesByTrait() {
		Map<Trait, List<Crash>> suspects = new LinkedHashMap<>();
		this.crashes.values()
			.stream()
			.sorted(Comparator.comparingLong(Crash::at))
			.forEach((crash) -> crash.traits()
				.forEach((trait) -> suspects.computeIfAbsent(trait, (missing) -> new ArrayList<>()).add(crash)));
		return suspects;
	}

	/**
	 * Says whether a part may turn out to be at more crashes than the worst trait.
	 */
	private static boolean isRival(TraitEvidence other, TraitEvidence worst) {
		return !other.trait().equals(worst.trait()) && other.trait().kind() == Trait.Kind.PART && !other.hadSuccess()
				&& other.crashCount() >= worst.crashCount() - 1;
	}

	private boolean isSufficient(TraitEvidence one) {
		return one.crashCount() >= crashThreshold(one.trait(), one.hadSuccess()) && !one.sharesOneContent()
				&& (!one.hadSuccess() || this.successes.hasSuccessWithoutSince(one.trait(), one.firstCrashAt()));
	}

	/**
	 * Weighs what speaks against a trait.
	 * @param with the crashes at which it was, in their order
	 */
	private TraitEvidence weigh(Trait trait, List<Crash> with) {
		long soundAt = this.successes.lastSuccessAt(trait);
		boolean soundBefore = this.successes.hasSuccess(trait) || trait.kind() == Trait.Kind.PART_UNDER_MODEL;
		List<Crash> against = with.stream()
			.filter((crash) -> crash.at() > soundAt && (!trait.isPart() || crash.at() >= this.observingSince))
			.toList();
		List<Crash> counted = countedCrashes(trait, against);
		int count = 0;
		long first = Long.MAX_VALUE;
		long last = Long.MIN_VALUE / 2;
		long ran = 0;
		boolean copies = false;
		for (Crash crash : counted) {
			if (crash.at() - last >= MIN_CRASH_GAP_MILLIS || crash.lastRequestAt(trait) >= last) {
				count++;
				last = crash.at();
				first = Math.min(first, last);
				copies = false;
			}
			else if (!copies && !soundBefore && allCrashesHave(trait, last, crash.at())) {
				count++;
				copies = true;
			}
			ran += crash.at() - crash.lastRequestAt(trait);
		}
		return new TraitEvidence(trait, soundBefore, count, first, last, ran,
				trait.isPart() && shareOneContent(counted));
	}

	/**
	 * Returns the crashes that count against a trait. Explained ones count too once it
	 * crashed a replica to which it came when what explains them was refused already.
	 */
	private List<Crash> countedCrashes(Trait trait, List<Crash> against) {
		List<Crash> open = against.stream().filter((crash) -> explainedSince(crash, trait).isEmpty()).toList();
		if (open.isEmpty() || trait.isPart()) {
			return open;
		}
		long refusedAt = against.stream()
			.map((crash) -> explainedSince(crash, trait))
			.flatMapToLong(OptionalLong::stream)
			.max()
			.orElse(Long.MAX_VALUE);
		return open.stream().anyMatch((crash) -> crash.lastRequestAt(trait) >= refusedAt) ? against : open;
	}

	/**
	 * Says whether all that ended in a moment ran a content, while others go well.
	 */
	private boolean allCrashesHave(Trait trait, long from, long to) {
		return !trait.isPart() && this.successes.hasSuccessWithoutSince(trait, from) && this.crashes.values()
			.stream()
			.filter((crash) -> crash.at() > from - MIN_CRASH_GAP_MILLIS && crash.at() < to + MIN_CRASH_GAP_MILLIS)
			.allMatch((crash) -> crash.hasTrait(trait));
	}

	/**
	 * Says whether one content was at several crashes, and at all of them.
	 */
	private static boolean shareOneContent(List<Crash> crashes) {
		return crashes.size() > 1 && crashes.get(0)
			.traits()
			.stream()
			.anyMatch((trait) -> !trait.isPart() && crashes.stream().allMatch((crash) -> crash.hasTrait(trait)));
	}

	private static int crashThreshold(Trait trait, boolean soundBefore) {
		if (!trait.isPart()) {
			return CONTENT_CRASH_THRESHOLD;
		}
		return soundBefore ? PRIOR_SUCCESS_CRASH_THRESHOLD : PART_CRASH_THRESHOLD;
	}

	/**
	 * What speaks against a trait.
	 *
	 * @param trait the trait
	 * @param soundBefore whether requests with it went well, or may have, before
	 * @param crashes how many crashes speak against it
	 * @param firstAt when the first of them was, in milliseconds
	 * @param lastAt when the last of them was, in milliseconds
	 * @param ranMillis how long its requests had run when replicas ended, in all
	 * @param ofOneContent whether it is a part, and one content was at all of the crashes
	 */
	record TraitEvidence(Trait trait, boolean hadSuccess, int crashCount, long firstCrashAt, long lastCrashAt,
			long totalRunMillis, boolean sharesOneContent) {
	}

}
