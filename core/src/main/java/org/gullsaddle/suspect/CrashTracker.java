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
 * Finds the traits shared by requests that crash replicas, from the crash evidence of all
 * nodes, and blocks them. Confined to one thread.
 * <p>
 * Many requests run on a replica, so one crash blocks nothing. A trait is blocked once
 * requests with it were running at several crashes in succession and none with it
 * succeeded since the first; see {@link CrashEvidence}. It stays blocked while such
 * requests arrive, except for occasional trials.
 */
public final class CrashTracker {

	/** How long after a crash peers' notes about it are awaited. */
	private static final long NOTE_WAIT_MILLIS = 10_000;

	/**
	 * Notes younger than this are treated as just written, as clocks differ.
	 */
	private static final long MIN_NOTE_AGE_MILLIS = 10_000;

	private static final int MAX_BLOCKED_TRAITS = 256;

	private static final int MAX_REPORTED_TRAITS = 32;

	private static final int MAX_REPORTED_CRASHES = 16;

	private static final int MAX_TRAITS_PER_CRASH = 24;

	/** The crashes that this node observed itself, which it reports to its peers. */
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

	/** The traits whose success since their last crash this node has reported. */
	private final Set<Trait> reportedSuccesses = new HashSet<>();

	/** The traits that this node's last note lists as blocked. */
	private final Set<Trait> reportedBlocked = new HashSet<>();

	/** When a request with each unblocked trait last succeeded, in milliseconds. */
	private final Map<Trait, Long> unblockedAt = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Long> eldest) {
			return size() > MAX_REPORTED_TRAITS;
		}
	};

	/**
	 * Handles a crash that this node detected.
	 * @param now the time in milliseconds
	 * @param crash the crash
	 * @return the newly blocked traits
	 */
	public List<Trait> onCrash(long now, Crash crash) {
		this.evidence.observeFrom(crash.at());
		this.ownCrashes.merge(crash.processName(), crash, Crash::merge);
		addCrash(now, crash);
		return blockSuspects(now);
	}

	private OptionalLong blockedSince(Trait trait) {
		BlockedTrait blockedTrait = this.blockedTraits.get(trait);
		return (blockedTrait != null) ? OptionalLong.of(blockedTrait.blockedAt()) : OptionalLong.empty();
	}

	private void addCrash(long now, Crash crash) {
		if (this.evidence.addCrash(crash)) {
			this.reportedSuccesses.removeAll(crash.traits());
			this.lastCrashAt = Math.max(this.lastCrashAt, now);
		}
		crash.traits().forEach((trait) -> {
			BlockedTrait blockedTrait = this.blockedTraits.get(trait);
			if (blockedTrait != null) {
				blockedTrait.onCrash(crash.at());
			}
		});
	}

	/**
	 * Handles proof that a replica's process is alive, which retracts its crash. A node
	 * that is cut off from a replica may have taken it for dead.
	 * @param process the process
	 * @param sentAt when the request that it answers was sent, in milliseconds
	 */
	public void onAlive(String process, long sentAt) {
		if (this.evidence.retractCrash(process, sentAt)) {
			this.ownCrashes.remove(process);
		}
	}

	/**
	 * Handles the success of a request: its answer was complete, or kept streaming for a
	 * while.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the traits among them that this unblocks
	 */
	public List<Trait> onSuccess(long now, Collection<Trait> traits) {
		this.evidence.observeFrom(now);
		this.successes.recordRequest(now, traits);
		return unblockSucceeded(traits);
	}

	/**
	 * Records that a request's answer has been going well for a while. That speaks for
	 * its traits as long as it goes on: a request may crash its replica late, so that
	 * only its end tells.
	 * @param attempt identifies the attempt that runs it
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 */
	public void onRunning(Object attempt, long now, Collection<Trait> traits) {
		this.evidence.observeFrom(now);
		this.successes.recordRunning(attempt, now, traits);
	}

	/**
	 * Handles the end of an attempt, however it ended.
	 * @param attempt identifies the attempt
	 */
	public void onRunEnded(Object attempt) {
		this.successes.endRunning(attempt);
	}

	private List<Trait> unblockSucceeded(Collection<Trait> traits) {
		if (this.blockedTraits.isEmpty()) {
			return List.of();
		}
		return traits.stream().filter(this::unblockIfSucceeded).toList();
	}

	private boolean unblockIfSucceeded(Trait trait) {
		BlockedTrait blockedTrait = this.blockedTraits.get(trait);
		boolean succeeded = blockedTrait != null && this.successes.lastSuccessAt(trait) > blockedTrait.lastCrashAt();
		if (succeeded) {
			this.blockedTraits.remove(trait);
			this.unblockedAt.put(trait, this.successes.lastSuccessAt(trait));
		}
		return succeeded;
	}

	/**
	 * Returns whether a request has succeeded with each of some traits.
	 * @param traits the traits
	 * @return true if a success with each of them is remembered
	 */
	public boolean hasSuccessWithEach(Collection<Trait> traits) {
		return traits.stream().allMatch(this.successes::hasSuccess);
	}

	/**
	 * Returns whether a request must not be sent to any replica.
	 * @param traits the request's traits
	 * @return true if one of them is blocked
	 */
	public boolean isBlocked(Collection<Trait> traits) {
		return !this.blockedTraits.isEmpty() && traits.stream().anyMatch(this.blockedTraits::containsKey);
	}

	/**
	 * Returns when a refused request may be retried: when the next trial is due.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the time from now in milliseconds
	 */
	public long retryAfterMillis(long now, Collection<Trait> traits) {
		return findBlocked(traits).stream()
			.mapToLong((blockedTrait) -> blockedTrait.trialInMillis(now))
			.max()
			.orElse(0);
	}

	/**
	 * Handles the arrival of a request, which prolongs the blocks of its traits.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return whether to report the blocks to peers again
	 */
	public boolean onRequest(long now, Collection<Trait> traits) {
		boolean shouldReport = false;
		for (BlockedTrait blockedTrait : findBlocked(traits)) {
			shouldReport |= blockedTrait.onRequest(now);
		}
		return shouldReport;
	}

	/**
	 * Returns the trial for which a request is to be let through, to find out whether its
	 * trait can be unblocked.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the trial, if one is due and no other trait of the request is blocked
	 */
	public Optional<Trial> findTrial(long now, Collection<Trait> traits) {
		List<BlockedTrait> blocked = findBlocked(traits);
		if (blocked.size() != 1 || !blocked.get(0).isTrialDue(now)) {
			return Optional.empty();
		}
		return Optional.of(new Trial(blocked.get(0).trait(), blocked.get(0).trialCount() + 1));
	}

	/**
	 * Handles the decision on a trial, whether this node or a peer runs it.
	 * @param now the time in milliseconds
	 * @param trial the trial
	 */
	public void onTrialDecided(long now, Trial trial) {
		BlockedTrait blockedTrait = this.blockedTraits.get(trial.trait());
		if (blockedTrait != null && blockedTrait.trialCount() < trial.number()) {
			blockedTrait.onTrial(now);
		}
	}

	private List<BlockedTrait> findBlocked(Collection<Trait> traits) {
		return traits.stream().distinct().filter(this.blockedTraits::containsKey).map(this.blockedTraits::get).toList();
	}

	/**
	 * Handles a peer's note.
	 * @param now the time in milliseconds
	 * @param clock the wall-clock time in milliseconds since the epoch
	 * @param note the note
	 * @return what changed
	 */
	public NoteEffect onNote(long now, long clock, CrashNote note) {
		this.evidence.observeFrom(now);
		long ageMillis = clock - note.writtenAt();
		long lag = (ageMillis >= MIN_NOTE_AGE_MILLIS) ? ageMillis : 0;
		if (lag > BlockedTrait.EXPIRY_MILLIS) {
			return new NoteEffect(List.of(), List.of());
		}
		note.sound().forEach((trait, age) -> this.successes.recordTrait(now - lag - age, trait));
		List<Trait> unblocked = unblockSucceeded(note.sound().keySet());
		for (CrashNote.NotedCrash each : note.crashes()) {
			if (lag + each.ageMillis() < CrashEvidence.RETENTION_MILLIS) {
				addCrash(now, new Crash(each.process(), now - lag - each.ageMillis(), each.ran(), each.silent()));
			}
		}
		List<Trait> blocked = new ArrayList<>();
		for (CrashNote.NotedBlock each : note.refused()) {
			if (mergeBlocked(now, lag, each)) {
				blocked.add(each.trait());
			}
		}
		blocked.addAll(blockSuspects(now));
		return new NoteEffect(blocked, unblocked);
	}

	/**
	 * Handles the note that this node wrote before it restarted, and reports its crashes
	 * again.
	 * @param now the time in milliseconds
	 * @param clock the wall-clock time in milliseconds since the epoch
	 * @param note the note
	 * @return what changed
	 */
	public NoteEffect onOwnNote(long now, long clock, CrashNote note) {
		NoteEffect effect = onNote(now, clock, note);
		for (CrashNote.NotedCrash each : note.crashes()) {
			this.evidence.findCrash(each.process())
				.ifPresent((crash) -> this.ownCrashes.putIfAbsent(each.process(), crash));
		}
		return effect;
	}

	private boolean mergeBlocked(long now, long lag, CrashNote.NotedBlock noted) {
		boolean succeededSince = this.successes.lastSuccessAt(noted.trait()) > now - lag - noted.crashAgeMillis();
		if (succeededSince || this.evidence.isExplained(noted.trait())) {
			return false;
		}
		boolean known = this.blockedTraits.containsKey(noted.trait());
		if (!known) {
			block(new BlockedTrait(noted.trait(), now - lag - noted.seenAgeMillis(),
					now - lag - noted.crashAgeMillis()));
		}
		this.blockedTraits.get(noted.trait()).merge(now, noted, lag);
		return !known;
	}

	/**
	 * Returns whether to report successes with some traits to peers, as those traits were
	 * at several crashes that peers know of. Remembers them as reported.
	 * @param traits the traits of a request that succeeded
	 * @return true once after each crash
	 */
	public boolean shouldReportSuccess(Collection<Trait> traits) {
		if (!this.evidence.hasCrashes()) {
			return false;
		}
		List<Trait> suspects = this.evidence.repeatedSuspects(traits);
		return this.reportedSuccesses.addAll(suspects);
	}

	/**
	 * Builds the note that reports crashes, successes and blocked traits to peers.
	 * @param now the time in milliseconds
	 * @param clock the wall-clock time in milliseconds since the epoch
	 * @return the note, empty if there is nothing to report
	 */
	public Optional<CrashNote> buildNote(long now, long clock) {
		expire(now);
		List<CrashNote.NotedCrash> ended = this.ownCrashes.values()
			.stream()
			.map((crash) -> crash.retainTraits(chooseMostSuspect(crash)))
			.map((crash) -> new CrashNote.NotedCrash(crash.processName(), now - crash.at(), crash.runMillis(),
					crash.silent()))
			.toList();
		Set<Trait> suspects = new LinkedHashSet<>(this.blockedTraits.keySet());
		suspects.addAll(this.unblockedAt.keySet());
		this.evidence.unexplainedCrashes().forEach((crash) -> suspects.addAll(crash.traits()));
		Map<Trait, Long> successAges = new HashMap<>();
		suspects.stream()
			.filter(this.successes::hasSuccess)
			.sorted(Comparator.comparingLong(this.successes::lastSuccessAt).reversed())
			.limit(MAX_REPORTED_TRAITS)
			.forEach((trait) -> successAges.put(trait, Math.max(0, now - this.successes.lastSuccessAt(trait))));
		List<CrashNote.NotedBlock> blocked = this.blockedTraits.values()
			.stream()
			.sorted(Comparator.comparingLong(BlockedTrait::lastRequestAt).reversed())
			.limit(MAX_REPORTED_TRAITS)
			.map((blockedTrait) -> blockedTrait.toNotedBlock(now))
			.toList();
		this.reportedBlocked.clear();
		blocked.forEach((each) -> this.reportedBlocked.add(each.trait()));
		CrashNote note = new CrashNote(clock, ended, successAges, blocked);
		return note.empty() ? Optional.empty() : Optional.of(note);
	}

	/**
	 * Returns whether this node's last note lists any unblocked trait as blocked.
	 * @param unblocked the unblocked traits
	 * @return true if the note is to be written again
	 */
	public boolean hasReportedAnyBlocked(Collection<Trait> unblocked) {
		return unblocked.stream().anyMatch(this.reportedBlocked::contains);
	}

	/**
	 * Returns the most suspect traits of a crash: those whose last success is longest ago
	 * or unknown, and among these the ones at the most crashes.
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
	 * Returns at how many remembered crashes a trait was, whether or not a blocked trait
	 * explains them.
	 * @param trait the trait
	 * @return the number
	 */
	public int crashCount(Trait trait) {
		return this.evidence.crashCount(trait);
	}

	/**
	 * Returns how many traits are blocked.
	 * @return the number
	 */
	public int blockedCount() {
		return this.blockedTraits.size();
	}

	/**
	 * Returns whether any crash is remembered or any trait is blocked.
	 * @return true if there is such evidence
	 */
	public boolean hasCrashEvidence() {
		return this.evidence.hasCrashes() || !this.blockedTraits.isEmpty();
	}

	/**
	 * Returns whether a crash is so recent that peers' notes about it are still awaited.
	 * @param now the time in milliseconds
	 * @return true while notes are awaited
	 */
	public boolean isAwaitingNotes(long now) {
		return now - this.lastCrashAt < NOTE_WAIT_MILLIS;
	}

	/**
	 * Returns whether this node blocks a trait that no node has reported yet.
	 * @return true if a report is due
	 */
	public boolean hasUnreportedBlocks() {
		return this.blockedTraits.values().stream().anyMatch((blockedTrait) -> !blockedTrait.isReported());
	}

	/**
	 * Blocks the traits whose crash evidence is sufficient by now. To be called a few
	 * times a second.
	 * @param now the time in milliseconds
	 * @return the newly blocked traits
	 */
	public List<Trait> reevaluate(long now) {
		this.evidence.observeFrom(now);
		return this.evidence.hasCrashes() ? blockSuspects(now) : List.of();
	}

	private List<Trait> blockSuspects(long now) {
		expire(now);
		List<Trait> blocked = new ArrayList<>();
		Optional<CrashEvidence.TraitEvidence> strongest = this.evidence.findNextToBlock(now);
		while (strongest.isPresent()) {
			Trait trait = strongest.get().trait();
			block(new BlockedTrait(trait, now, strongest.get().lastCrashAt()));
			blocked.add(trait);
			strongest = this.evidence.findNextToBlock(now);
		}
		return blocked;
	}

	private void block(BlockedTrait blockedTrait) {
		if (this.blockedTraits.size() >= MAX_BLOCKED_TRAITS) {
			this.blockedTraits.values()
				.stream()
				.min(Comparator.comparingLong(BlockedTrait::lastRequestAt))
				.ifPresent((oldest) -> this.blockedTraits.remove(oldest.trait()));
		}
		this.blockedTraits.put(blockedTrait.trait(), blockedTrait);
		List<Trait> others = this.blockedTraits.keySet()
			.stream()
			.filter((trait) -> !trait.equals(blockedTrait.trait()))
			.filter(this.evidence::isExplained)
			.toList();
		this.blockedTraits.keySet().removeAll(others);
	}

	private void expire(long now) {
		this.evidence.expire(now);
		this.ownCrashes.values().removeIf((crash) -> now - crash.at() >= CrashEvidence.RETENTION_MILLIS);
		this.blockedTraits.values().removeIf((blockedTrait) -> blockedTrait.isExpired(now));
		this.unblockedAt.values().removeIf((at) -> now - at > BlockedTrait.EXPIRY_MILLIS);
		if (!this.evidence.hasCrashes()) {
			this.reportedSuccesses.clear();
		}
	}

	/**
	 * A request that is let through although its trait is blocked.
	 *
	 * @param trait the trait
	 * @param number the trait's trial count including this one, from 1
	 */
	public record Trial(Trait trait, int number) {
	}

	/**
	 * What a note changed.
	 *
	 * @param blocked the newly blocked traits
	 * @param unblocked the traits that are no longer blocked
	 */
	public record NoteEffect(List<Trait> blocked, List<Trait> unblocked) {
	}

}
