package org.gullsaddle.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds out what requests that crash replicas have in common, from what all nodes saw,
 * and refuses it. Confined to one thread.
 * <p>
 * Many requests run on a replica, so that one crash convicts nothing. A trait is refused
 * once requests with it were at several crashes one after the other, and none with it
 * went well since the first; see {@link CrashEvidence}. It is refused as long as such
 * requests come, but for a trial now and then.
 */
public final class CrashTracker {

	/** How long after a crash others' news of it are awaited, in milliseconds. */
	private static final long NOTE_WAIT_MILLIS = 10_000;

	/**
	 * How long ago a note was written at least for its age to count, in milliseconds:
	 * clocks differ.
	 */
	private static final long MIN_NOTE_AGE_MILLIS = 10_000;

	private static final int MAX_BLOCKED_TRAITS = 256;

	private static final int MAX_REPORTED_TRAITS = 32;

	private static final int MAX_REPORTED_CRASHES = 16;

	private static final int MAX_TRAITS_PER_CRASH = 24;

	/** The crashes that this node saw, as it saw them, which it tells the others. */
	private final Map<String, Crash> ownCrashes = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Crash> eldest) {
			return size() > MAX_REPORTED_CRASHES;
		}
	};

	private final Map<Trait, BlockedTrait> blockedTraits = new HashMap<>();

	private final CrashEvidence evidence = new CrashEvidence(this::blockedSince);

	private final SuccessTracker successes = this.evidence.successes();

	private long lastCrashAt = Long.MIN_VALUE / 2;

	/** The traits of which it was told that they are sound since their last crash. */
	private final Set<Trait> reportedSuccesses = new HashSet<>();

	/** The traits that this node's last note says are refused. */
	private final Set<Trait> reportedBlocked = new HashSet<>();

	/** The traits that were refused, and went well then. */
	private final Map<Trait, Long> unblockedAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Long> eldest) {
			return size() > MAX_REPORTED_TRAITS;
		}
	};

	/**
	 * Notes a crash that this node found.
	 * @param now the time in milliseconds
	 * @param crash the crash
	 * @return the traits that are refused from now on
	 */
	public List<Trait> onCrash(long now, Crash crash) {
		this.evidence.observeFrom(crash.at());
		this.ownCrashes.merge(crash.processName(), crash, Crash::merge);
		addCrash(now, crash);
		return blockSuspects(now);
	}

	private OptionalLong blockedSince(Trait trait) {
		BlockedTrait conviction = this.blockedTraits.get(trait);
		return (conviction != null) ? OptionalLong.of(conviction.blockedAt()) : OptionalLong.empty();
	}

	private void addCrash(long now, Crash crash) {
		if (this.evidence.addCrash(crash)) {
			this.reportedSuccesses.removeAll(crash.traits());
			this.lastCrashAt = Math.max(this.lastCrashAt, now);
		}
		crash.traits().forEach((trait) -> {
			BlockedTrait conviction = this.blockedTraits.get(trait);
			if (conviction != null) {
				conviction.onCrash(crash.at());
			}
		});
	}

	/**
	 * Notes that a replica lives, which may have been taken for dead: a node that is cut
	 * off from it sees it refuse connections.
	 * @param process the process
	 * @param sentAt when the request was sent that it answers, in milliseconds
	 */
	public void onAlive(String process, long sentAt) {
		if (this.evidence.retractCrash(process, sentAt)) {
			this.ownCrashes.remove(process);
		}
	}

	/**
	 * Notes that a request went well: its answer came whole, or went on for a while after
	 * it had begun.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the traits among them that are not refused any more
	 */
	public List<Trait> onSuccess(long now, Collection<Trait> traits) {
		this.evidence.observeFrom(now);
		this.successes.recordRequest(now, traits);
		return unblockSucceeded(traits);
	}

	private List<Trait> unblockSucceeded(Collection<Trait> traits) {
		if (this.blockedTraits.isEmpty()) {
			return List.of();
		}
		return traits.stream().filter(this::unblockIfSucceeded).toList();
	}

	private boolean unblockIfSucceeded(Trait trait) {
		BlockedTrait conviction = this.blockedTraits.get(trait);
		boolean clears = conviction != null && this.successes.lastSuccessAt(trait) > conviction.lastCrashAt();
		if (clears) {
			this.blockedTraits.remove(trait);
			this.unblockedAt.put(trait, this.successes.lastSuccessAt(trait));
		}
		return clears;
	}

	/**
	 * Says whether requests with each of some traits have gone well.
	 * @param traits the traits
	 * @return true if one went well with each, as far as is remembered
	 */
	public boolean hasSuccessWithEach(Collection<Trait> traits) {
		return traits.stream().allMatch(this.successes::hasSuccess);
	}

	/**
	 * Says whether a request may not be sent to any replica.
	 * @param traits the request's traits
	 * @return true if one of them is refused
	 */
	public boolean isBlocked(Collection<Trait> traits) {
		return !this.blockedTraits.isEmpty() && traits.stream().anyMatch(this.blockedTraits::containsKey);
	}

	/**
	 * Returns when a refused request may come back: when the next one is let through.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the time from now in milliseconds
	 */
	public long retryAfterMillis(long now, Collection<Trait> traits) {
		return findBlocked(traits).stream().mapToLong((conviction) -> conviction.trialInMillis(now)).max().orElse(0);
	}

	/**
	 * Notes that a request came, which lets the refusal of its traits last.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return whether others are to be told
	 */
	public boolean onRequest(long now, Collection<Trait> traits) {
		boolean due = false;
		for (BlockedTrait conviction : findBlocked(traits)) {
			due |= conviction.onRequest(now);
		}
		return due;
	}

	/**
	 * Returns the trait for which a request is to be let through, to find out whether it
	 * is sound by now.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the trait, if a trial is due and nothing else speaks against the request
	 */
	public Optional<Trial> findTrial(long now, Collection<Trait> traits) {
		List<BlockedTrait> against = findBlocked(traits);
		if (against.size() != 1 || !against.get(0).isTrialDue(now)) {
			return Optional.empty();
		}
		return Optional.of(new Trial(against.get(0).trait(), against.get(0).trialCount() + 1));
	}

	/**
	 * Notes that a trial was decided on, here or at another node.
	 * @param now the time in milliseconds
	 * @param trial the trial
	 */
	public void onTrialDecided(long now, Trial trial) {
		BlockedTrait conviction = this.blockedTraits.get(trial.trait());
		if (conviction != null && conviction.trialCount() < trial.number()) {
			conviction.onTrial(now);
		}
	}

	private List<BlockedTrait> findBlocked(Collection<Trait> traits) {
		return traits.stream().distinct().filter(this.blockedTraits::containsKey).map(this.blockedTraits::get).toList();
	}

	/**
	 * Takes in what another node told.
	 * @param now the time in milliseconds
	 * @param clock the Unix millisecond
	 * @param note what it told
	 * @return what changed
	 */
	public NoteEffect onNote(long now, long clock, CrashNote note) {
		this.evidence.observeFrom(now);
		long told = clock - note.writtenAt();
		long lag = (told >= MIN_NOTE_AGE_MILLIS) ? told : 0;
		if (lag > BlockedTrait.EXPIRY_MILLIS) {
			return new NoteEffect(List.of(), List.of());
		}
		note.sound().forEach((trait, age) -> this.successes.recordTrait(now - lag - age, trait));
		List<Trait> cleared = unblockSucceeded(note.sound().keySet());
		for (CrashNote.NotedCrash each : note.crashes()) {
			if (lag + each.ageMillis() < CrashEvidence.RETENTION_MILLIS) {
				addCrash(now, new Crash(each.process(), now - lag - each.ageMillis(), each.ran()));
			}
		}
		List<Trait> refused = new ArrayList<>();
		for (CrashNote.NotedBlock each : note.refused()) {
			if (mergeBlocked(now, lag, each)) {
				refused.add(each.trait());
			}
		}
		refused.addAll(blockSuspects(now));
		return new NoteEffect(refused, cleared);
	}

	/**
	 * Takes in what this node told before it started anew, and tells it again.
	 * @param now the time in milliseconds
	 * @param clock the Unix millisecond
	 * @param note what it told
	 * @return what changed
	 */
	public NoteEffect onOwnNote(long now, long clock, CrashNote note) {
		NoteEffect learned = onNote(now, clock, note);
		for (CrashNote.NotedCrash each : note.crashes()) {
			this.evidence.findCrash(each.process())
				.ifPresent((crash) -> this.ownCrashes.putIfAbsent(each.process(), crash));
		}
		return learned;
	}

	private boolean mergeBlocked(long now, long lag, CrashNote.NotedBlock told) {
		boolean soundSince = this.successes.lastSuccessAt(told.trait()) > now - lag - told.crashAgeMillis();
		if (soundSince || this.evidence.isExplained(told.trait())) {
			return false;
		}
		boolean known = this.blockedTraits.containsKey(told.trait());
		if (!known) {
			block(new BlockedTrait(told.trait(), now - lag - told.seenAgeMillis(), now - lag - told.crashAgeMillis()));
		}
		this.blockedTraits.get(told.trait()).merge(now, told, lag);
		return !known;
	}

	/**
	 * Says whether others are to be told that a trait is sound: it was at crashes that
	 * they know, or they refuse it.
	 * @param traits the traits of a request that went well
	 * @return true once after each crash
	 */
	public boolean shouldReportSuccess(Collection<Trait> traits) {
		if (!this.evidence.hasCrashes()) {
			return false;
		}
		List<Trait> accused = this.evidence.repeatedSuspects(traits);
		return this.reportedSuccesses.addAll(accused);
	}

	/**
	 * Returns what is known, to tell other nodes.
	 * @param now the time in milliseconds
	 * @param clock the Unix millisecond
	 * @return the note, empty if nothing is known
	 */
	public Optional<CrashNote> buildNote(long now, long clock) {
		expire(now);
		List<CrashNote.NotedCrash> ended = this.ownCrashes.values()
			.stream()
			.map((crash) -> crash.retainTraits(chooseMostSuspect(crash)))
			.map((crash) -> new CrashNote.NotedCrash(crash.processName(), now - crash.at(), crash.runMillis()))
			.toList();
		Set<Trait> accused = new LinkedHashSet<>(this.blockedTraits.keySet());
		accused.addAll(this.unblockedAt.keySet());
		this.evidence.unexplainedCrashes().forEach((crash) -> accused.addAll(crash.traits()));
		Map<Trait, Long> marks = new HashMap<>();
		accused.stream()
			.filter(this.successes::hasSuccess)
			.sorted(Comparator.comparingLong(this.successes::lastSuccessAt).reversed())
			.limit(MAX_REPORTED_TRAITS)
			.forEach((trait) -> marks.put(trait, Math.max(0, now - this.successes.lastSuccessAt(trait))));
		List<CrashNote.NotedBlock> refused = this.blockedTraits.values()
			.stream()
			.sorted(Comparator.comparingLong(BlockedTrait::lastRequestAt).reversed())
			.limit(MAX_REPORTED_TRAITS)
			.map((conviction) -> conviction.toNotedBlock(now))
			.toList();
		this.reportedBlocked.clear();
		refused.forEach((each) -> this.reportedBlocked.add(each.trait()));
		CrashNote note = new CrashNote(clock, ended, marks, refused);
		return note.empty() ? Optional.empty() : Optional.of(note);
	}

	/**
	 * Says whether this node told that traits are refused which are not any more.
	 * @param cleared the traits
	 * @return true if its note is to be written again
	 */
	public boolean hasReportedAnyBlocked(Collection<Trait> cleared) {
		return cleared.stream().anyMatch(this.reportedBlocked::contains);
	}

	/**
	 * Returns the traits of a crash that were sound longest ago, or never, and of those
	 * the ones that were at most crashes.
	 */
	private Set<Trait> chooseMostSuspect(Crash crash) {
		return new HashSet<>(crash.traits()
			.stream()
			.sorted(Comparator.comparingLong(this.successes::lastSuccessAt)
				.thenComparing(Comparator.comparingInt(this::crashCount).reversed())
				.thenComparing(Trait::kind))
			.limit(MAX_TRAITS_PER_CRASH)
			.toList());
	}

	/**
	 * Returns how many remembered crashes a trait was at, whatever explains them.
	 * @param trait the trait
	 * @return the number
	 */
	public int crashCount(Trait trait) {
		return this.evidence.crashCount(trait);
	}

	/**
	 * Returns how many traits are refused.
	 * @return the number
	 */
	public int blockedCount() {
		return this.blockedTraits.size();
	}

	/**
	 * Says whether any crash is remembered, or anything refused.
	 * @return true if so
	 */
	public boolean hasCrashEvidence() {
		return this.evidence.hasCrashes() || !this.blockedTraits.isEmpty();
	}

	/**
	 * Says whether crashes are so recent that others' news of them are awaited.
	 * @param now the time in milliseconds
	 * @return true if so
	 */
	public boolean isAwaitingNotes(long now) {
		return now - this.lastCrashAt < NOTE_WAIT_MILLIS;
	}

	/**
	 * Says whether this node refuses anything of which no node has told the others yet.
	 * @return true if so
	 */
	public boolean hasUnreportedBlocks() {
		return this.blockedTraits.values().stream().anyMatch((conviction) -> !conviction.isReported());
	}

	/**
	 * Finds out what is to be refused by now. Is to be called some times a second.
	 * @param now the time in milliseconds
	 * @return the traits that are refused from now on
	 */
	public List<Trait> reevaluate(long now) {
		this.evidence.observeFrom(now);
		return this.evidence.hasCrashes() ? blockSuspects(now) : List.of();
	}

	private List<Trait> blockSuspects(long now) {
		expire(now);
		List<Trait> convicted = new ArrayList<>();
		Optional<CrashEvidence.TraitEvidence> worst = this.evidence.findNextToBlock(now);
		while (worst.isPresent()) {
			Trait trait = worst.get().trait();
			block(new BlockedTrait(trait, now, worst.get().lastCrashAt()));
			convicted.add(trait);
			worst = this.evidence.findNextToBlock(now);
		}
		return convicted;
	}

	private void block(BlockedTrait conviction) {
		if (this.blockedTraits.size() >= MAX_BLOCKED_TRAITS) {
			this.blockedTraits.values()
				.stream()
				.min(Comparator.comparingLong(BlockedTrait::lastRequestAt))
				.ifPresent((oldest) -> this.blockedTraits.remove(oldest.trait()));
		}
		this.blockedTraits.put(conviction.trait(), conviction);
		List<Trait> others = this.blockedTraits.keySet()
			.stream()
			.filter((trait) -> !trait.equals(conviction.trait()))
			.filter(this.evidence::isExplained)
			.toList();
		this.blockedTraits.keySet().removeAll(others);
	}

	private void expire(long now) {
		this.evidence.expire(now);
		this.ownCrashes.values().removeIf((crash) -> now - crash.at() >= CrashEvidence.RETENTION_MILLIS);
		this.blockedTraits.values().removeIf((conviction) -> conviction.isExpired(now));
		this.unblockedAt.values().removeIf((at) -> now - at > BlockedTrait.EXPIRY_MILLIS);
		if (!this.evidence.hasCrashes()) {
			this.reportedSuccesses.clear();
		}
	}

	/**
	 * A request that is let through although its trait is refused.
	 *
	 * @param trait the trait
	 * @param number which of its trials it is, 1 for the first
	 */
	public record Trial(Trait trait, int number) {
	}

	/**
	 * What another node's note changed.
	 *
	 * @param refused the traits that are refused from now on
	 * @param cleared those that are not any more
	 */
	public record NoteEffect(List<Trait> blocked, List<Trait> unblocked) {
	}

}
