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
import java.util.stream.Stream;

/**
 * The crashes that any node observed, weighed against the requests that succeeded.
 * <p>
 * Crashes at the same moment count as one, as a rack may have failed; but a request that
 * reached its replica only after the previous crash counts separately. If all replicas
 * that crashed at one moment ran copies of the same content, those crashes count as two.
 * A trait with earlier successes needs more crashes, and successes of other requests
 * meanwhile. Among several candidates, traits that never succeeded are blocked first. A
 * part that was only at crashes of one content is not blamed for them. A blocked trait
 * explains its crashes: they count against a content only if it was also at an
 * unexplained crash of a replica that it reached after the explaining trait had been
 * blocked. A blocked content explains nothing for a content that was at all of its
 * crashes and at more. If other parts have nearly as many crashes, or a content was at
 * half of the crashes of a part with earlier successes, peers' notes are awaited briefly.
 */
final class CrashEvidence {

	/**
	 * The number of crashes that blocks a part. A rare, unrelated part is at one crash in
	 * ten at most, and very rarely at all of four.
	 */
	private static final int PART_CRASH_THRESHOLD = 4;

	/**
	 * The number of crashes that blocks a content. With two, a stream that is retried on
	 * a second replica of a failing rack would be blocked.
	 */
	private static final int CONTENT_CRASH_THRESHOLD = 3;

	/**
	 * The number of crashes that blocks a part with earlier successes, or a part under
	 * one model, which may succeed under other models.
	 */
	private static final int PRIOR_SUCCESS_CRASH_THRESHOLD = 6;

	/** Crashes at least this far apart count as independent. */
	private static final long MIN_CRASH_GAP_MILLIS = 300;

	/** How long a crash is remembered. */
	static final long RETENTION_MILLIS = 300_000;

	/**
	 * How long peers' notes are awaited while another part is at nearly as many crashes,
	 * as nodes' observations of the same crash may arrive one after another.
	 */
	private static final long RIVAL_WAIT_MILLIS = 1000;

	private static final int MAX_CRASHES = 100;

	private static final int MAX_REVIVED = 100;

	private final Map<String, Crash> crashes = new LinkedHashMap<>();

	private final SuccessTracker successes = new SuccessTracker();

	/** Since when the evidence against a trait has been sufficient, in milliseconds. */
	private final Map<Trait, Long> sufficientSince = new HashMap<>();

	/** Returns when a trait was blocked, in milliseconds, or empty if it is not. */
	private final Function<Trait, OptionalLong> blockedSince;

	/** When this node began to observe successes, in milliseconds. */
	private long observingSince = Long.MAX_VALUE;

	/**
	 * When processes that had been taken for dead were last known to be alive, in
	 * milliseconds.
	 */
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
	 * Records that this node observes successes from this time on, if not earlier.
	 */
	void observeFrom(long now) {
		this.observingSince = Math.min(this.observingSince, now);
	}

	SuccessTracker successes() {
		return this.successes;
	}

	/**
	 * Adds a crash, or merges it with what is known of the same process.
	 * @return whether the crash was new
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
	 * Removes a process's crash, as the process is alive.
	 * @param sentAt when the request that it answers was sent, in milliseconds
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
	 * Returns the crashes that no blocked part explains, in order of time.
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
	 * Returns whether another blocked trait explains a crash of a content and the
	 * content's remaining crashes are not sufficient to block it. Of two contents that
	 * were at the same crashes, neither explains the other's: if a peer blocks the other
	 * one, both stay blocked.
	 */
	boolean isExplained(Trait trait) {
		if (trait.isPart()) {
			return false;
		}
		List<Crash> crashesWithTrait = crashesWith(trait);
		return crashesWithTrait.stream()
			.flatMap((crash) -> explaining(crash, trait))
			.anyMatch((other) -> other.isPart() || !isAtAllCrashesOf(other, trait))
				&& !isSufficient(weigh(trait, crashesWithTrait));
	}

	private List<Crash> crashesWith(Trait trait) {
		return this.crashes.values()
			.stream()
			.filter((crash) -> crash.hasTrait(trait))
			.sorted(Comparator.comparingLong(Crash::at))
			.toList();
	}

	/**
	 * Returns when another trait that explains a crash for this trait was first blocked.
	 */
	private OptionalLong explainedSince(Crash crash, Trait trait) {
		return explaining(crash, trait).map(this.blockedSince).flatMapToLong(OptionalLong::stream).min();
	}

	/**
	 * Returns the blocked traits that explain a crash for another trait. A content
	 * explains it for other contents only, as requests with other contents may have the
	 * same part.
	 */
	private Stream<Trait> explaining(Crash crash, Trait trait) {
		return crash.traits()
			.stream()
			.filter((other) -> !other.equals(trait) && (other.isPart() || !trait.isPart()))
			.filter((other) -> isBlocked(other) && !isOutweighed(other, trait));
	}

	/**
	 * Returns whether a blocked content explains fewer crashes than another content that
	 * was at all of them. Nodes that have observed different crashes may have blocked
	 * different contents.
	 */
	private boolean isOutweighed(Trait blocked, Trait trait) {
		return !blocked.isPart() && !trait.isPart() && isAtAllCrashesOf(blocked, trait)
				&& crashCount(trait) > crashCount(blocked);
	}

	private boolean isAtAllCrashesOf(Trait blocked, Trait trait) {
		return this.crashes.values().stream().allMatch((crash) -> crash.hasTrait(trait) || !crash.hasTrait(blocked));
	}

	/**
	 * Returns the traits that were at more than one unexplained crash.
	 */
	List<Trait> repeatedSuspects(Collection<Trait> traits) {
		List<Crash> unexplained = unexplainedCrashes();
		return traits.stream()
			.filter((trait) -> unexplained.stream().filter((crash) -> crash.hasTrait(trait)).count() > 1)
			.toList();
	}

	/**
	 * Returns the evidence against the trait to block next, if any is sufficient.
	 */
	Optional<TraitEvidence> findNextToBlock(long now) {
		Map<Trait, List<Crash>> byTrait = crashesByTrait();
		List<TraitEvidence> evidence = byTrait.entrySet()
			.stream()
			.filter((suspect) -> suspect.getValue().size() > 1 && !isBlocked(suspect.getKey()))
			.map((suspect) -> weigh(suspect.getKey(), suspect.getValue()))
			.toList();
		List<TraitEvidence> sufficient = evidence.stream().filter(this::isSufficient).toList();
		this.sufficientSince.keySet().retainAll(sufficient.stream().map(TraitEvidence::trait).toList());
		sufficient.forEach((one) -> this.sufficientSince.putIfAbsent(one.trait(), now));
		return sufficient.stream()
			.min(Comparator.comparing(TraitEvidence::hadSuccess)
				.thenComparing((one) -> one.trait().kind())
				.thenComparing((one) -> -one.crashCount())
				.thenComparing(TraitEvidence::totalRunMillis)
				.thenComparing(TraitEvidence::trait))
			.filter((strongest) -> now - this.sufficientSince.get(strongest.trait()) >= RIVAL_WAIT_MILLIS
					|| (evidence.stream().noneMatch((other) -> isRival(other, strongest))
							&& !hasRivalContent(strongest, byTrait)));
	}

	/**
	 * Returns the crashes of each trait, in order of time.
	 */
	private Map<Trait, List<Crash>> crashesByTrait() {
		Map<Trait, List<Crash>> byTrait = new LinkedHashMap<>();
		this.crashes.values()
			.stream()
			.sorted(Comparator.comparingLong(Crash::at))
			.forEach((crash) -> crash.traits()
				.forEach((trait) -> byTrait.computeIfAbsent(trait, (missing) -> new ArrayList<>()).add(crash)));
		return byTrait;
	}

	/**
	 * Returns whether another part may turn out to be at more crashes than the strongest
	 * suspect.
	 */
	private static boolean isRival(TraitEvidence other, TraitEvidence strongest) {
		return !other.trait().equals(strongest.trait()) && other.trait().kind() == Trait.Kind.PART
				&& !other.hadSuccess() && other.crashCount() >= strongest.crashCount() - 1;
	}

	/**
	 * Returns whether one content may turn out to be at all crashes of a part with
	 * earlier successes.
	 * @param byTrait the crashes of each trait
	 */
	private static boolean hasRivalContent(TraitEvidence strongest, Map<Trait, List<Crash>> byTrait) {
		Trait part = strongest.trait();
		return part.isPart() && strongest.hadSuccess()
				&& byTrait.entrySet()
					.stream()
					.filter((other) -> !other.getKey().isPart())
					.mapToLong((other) -> other.getValue().stream().filter((crash) -> crash.hasTrait(part)).count())
					.anyMatch((shared) -> 2 * shared >= strongest.crashCount());
	}

	private boolean isSufficient(TraitEvidence one) {
		return one.crashCount() >= crashThreshold(one.trait(), one.hadSuccess()) && !one.sharesOneContent()
				&& (!one.hadSuccess() || this.successes.hasSuccessWithoutSince(one.trait(), one.firstCrashAt()));
	}

	/**
	 * Weighs the evidence against a trait.
	 * @param crashesWithTrait the crashes at which it was, in order of time
	 */
	private TraitEvidence weigh(Trait trait, List<Crash> crashesWithTrait) {
		long lastSoundAt = this.successes.lastSoundAt(trait);
		boolean hadSuccess = this.successes.hasSuccess(trait) || trait.kind() == Trait.Kind.PART_UNDER_MODEL;
		List<Crash> against = crashesWithTrait.stream()
			.filter((crash) -> crash.at() > lastSoundAt && (!trait.isPart() || crash.at() >= this.observingSince))
			.toList();
		List<Crash> counted = countedCrashes(trait, against);
		int count = 0;
		long first = Long.MAX_VALUE;
		long last = Long.MIN_VALUE / 2;
		long totalRunMillis = 0;
		boolean areCopies = false;
		for (Crash crash : counted) {
			if (crash.at() - last >= MIN_CRASH_GAP_MILLIS || crash.lastRequestAt(trait) >= last) {
				count++;
				last = crash.at();
				first = Math.min(first, last);
				areCopies = false;
			}
			else if (!areCopies && !hadSuccess && allCrashesHave(trait, last, crash.at())) {
				count++;
				areCopies = true;
			}
			totalRunMillis += crash.at() - crash.lastRequestAt(trait);
		}
		return new TraitEvidence(trait, hadSuccess, count, first, last, totalRunMillis,
				trait.isPart() && shareOneContent(counted));
	}

	/**
	 * Returns the crashes that count against a trait. A content's explained crashes count
	 * too once it was at an unexplained crash of a replica that it reached after the
	 * explaining trait had been blocked.
	 */
	private List<Crash> countedCrashes(Trait trait, List<Crash> against) {
		List<Crash> unexplained = against.stream().filter((crash) -> explainedSince(crash, trait).isEmpty()).toList();
		if (unexplained.isEmpty() || trait.isPart()) {
			return unexplained;
		}
		long explainedAt = against.stream()
			.map((crash) -> explainedSince(crash, trait))
			.flatMapToLong(OptionalLong::stream)
			.max()
			.orElse(Long.MAX_VALUE);
		return unexplained.stream().anyMatch((crash) -> crash.lastRequestAt(trait) >= explainedAt) ? against
				: unexplained;
	}

	/**
	 * Returns whether all replicas that crashed at one moment ran a content, while other
	 * requests succeed.
	 */
	private boolean allCrashesHave(Trait trait, long from, long to) {
		return !trait.isPart() && this.successes.hasSuccessWithoutSince(trait, from) && this.crashes.values()
			.stream()
			.filter((crash) -> crash.at() > from - MIN_CRASH_GAP_MILLIS && crash.at() < to + MIN_CRASH_GAP_MILLIS)
			.allMatch((crash) -> crash.hasTrait(trait));
	}

	/**
	 * Returns whether there are several crashes and one content was at all of them.
	 */
	private static boolean shareOneContent(List<Crash> crashes) {
		return crashes.size() > 1 && crashes.get(0)
			.traits()
			.stream()
			.anyMatch((trait) -> !trait.isPart() && crashes.stream().allMatch((crash) -> crash.hasTrait(trait)));
	}

	private static int crashThreshold(Trait trait, boolean hadSuccess) {
		if (!trait.isPart()) {
			return CONTENT_CRASH_THRESHOLD;
		}
		return hadSuccess ? PRIOR_SUCCESS_CRASH_THRESHOLD : PART_CRASH_THRESHOLD;
	}

	/**
	 * The crash evidence against a trait.
	 *
	 * @param trait the trait
	 * @param hadSuccess whether requests with it succeeded before, or may have
	 * @param crashCount how many independent crashes count against it
	 * @param firstCrashAt when the first of them was, in milliseconds
	 * @param lastCrashAt when the last of them was, in milliseconds
	 * @param totalRunMillis the total time its requests had run when the replicas
	 * crashed, in milliseconds
	 * @param sharesOneContent whether it is a part and one content was at all of its
	 * crashes
	 */
	record TraitEvidence(Trait trait, boolean hadSuccess, int crashCount, long firstCrashAt, long lastCrashAt,
			long totalRunMillis, boolean sharesOneContent) {
	}

}
