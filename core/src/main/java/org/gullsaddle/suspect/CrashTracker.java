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
	private static final long UNSETTLED_MILLIS = 10_000;

	/**
	 * How long ago a note was written at least for its age to count, in milliseconds:
	 * clocks differ.
	 */
	private static final long MIN_LAG_MILLIS = 10_000;

	private static final int MAX_CONVICTIONS = 256;

	private static final int MAX_TOLD = 32;

	private static final int MAX_TOLD_CRASHES = 16;

	private static final int MAX_TOLD_TRAITS = 24;

	/** The crashes that this node saw, as it saw them, which it tells the others. */
	private final Map<String, Crash> own = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Crash> eldest) {
			return size() > MAX_TOLD_CRASHES;
		}
	};

	private final Map<Trait, Conviction> convictions = new HashMap<>();

	private final CrashEvidence evidence = new CrashEvidence(this::refusedSince);

	private final SoundMarks sound = this.evidence.sound();

	private long lastCrashAt = Long.MIN_VALUE / 2;

	/** The traits of which it was told that they are sound since their last crash. */
	private final Set<Trait> toldSound = new HashSet<>();

	/** The traits that this node's last note says are refused. */
	private final Set<Trait> toldRefused = new HashSet<>();

	/** The traits that were refused, and went well then. */
	private final Map<Trait, Long> acquitted = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Long> eldest) {
			return size() > MAX_TOLD;
		}
	};

	/**
	 * Notes a crash that this node found.
	 * @param now the time in milliseconds
	 * @param crash the crash
	 * @return the traits that are refused from now on
	 */
	public List<Trait> onCrash(long now, Crash crash) {
		this.evidence.seesFrom(crash.at());
		this.own.merge(crash.processName(), crash, Crash::merge);
		add(now, crash);
		return judge(now);
	}

	private OptionalLong refusedSince(Trait trait) {
		Conviction conviction = this.convictions.get(trait);
		return (conviction != null) ? OptionalLong.of(conviction.since()) : OptionalLong.empty();
	}

	private void add(long now, Crash crash) {
		if (this.evidence.add(crash)) {
			this.toldSound.removeAll(crash.traits());
			this.lastCrashAt = Math.max(this.lastCrashAt, now);
		}
		crash.traits().forEach((trait) -> {
			Conviction conviction = this.convictions.get(trait);
			if (conviction != null) {
				conviction.crashed(crash.at());
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
		if (this.evidence.alive(process, sentAt)) {
			this.own.remove(process);
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
		this.evidence.seesFrom(now);
		this.sound.add(now, traits);
		return clear(traits);
	}

	private List<Trait> clear(Collection<Trait> traits) {
		if (this.convictions.isEmpty()) {
			return List.of();
		}
		return traits.stream().filter(this::cleared).toList();
	}

	private boolean cleared(Trait trait) {
		Conviction conviction = this.convictions.get(trait);
		boolean clears = conviction != null && this.sound.last(trait) > conviction.crashAt();
		if (clears) {
			this.convictions.remove(trait);
			this.acquitted.put(trait, this.sound.last(trait));
		}
		return clears;
	}

	/**
	 * Says whether requests with each of some traits have gone well.
	 * @param traits the traits
	 * @return true if one went well with each, as far as is remembered
	 */
	public boolean hasSuccessWithEach(Collection<Trait> traits) {
		return traits.stream().allMatch(this.sound::any);
	}

	/**
	 * Says whether a request may not be sent to any replica.
	 * @param traits the request's traits
	 * @return true if one of them is refused
	 */
	public boolean isBlocked(Collection<Trait> traits) {
		return !this.convictions.isEmpty() && traits.stream().anyMatch(this.convictions::containsKey);
	}

	/**
	 * Returns when a refused request may come back: when the next one is let through.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return the time from now in milliseconds
	 */
	public long retryAfterMillis(long now, Collection<Trait> traits) {
		return refused(traits).stream().mapToLong((conviction) -> conviction.trialInMillis(now)).max().orElse(0);
	}

	/**
	 * Notes that a request came, which lets the refusal of its traits last.
	 * @param now the time in milliseconds
	 * @param traits the request's traits
	 * @return whether others are to be told
	 */
	public boolean onRequest(long now, Collection<Trait> traits) {
		boolean due = false;
		for (Conviction conviction : refused(traits)) {
			due |= conviction.seen(now);
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
		List<Conviction> against = refused(traits);
		if (against.size() != 1 || !against.get(0).trialDue(now)) {
			return Optional.empty();
		}
		return Optional.of(new Trial(against.get(0).trait(), against.get(0).trials() + 1));
	}

	/**
	 * Notes that a trial was decided on, here or at another node.
	 * @param now the time in milliseconds
	 * @param trial the trial
	 */
	public void onTrialDecided(long now, Trial trial) {
		Conviction conviction = this.convictions.get(trial.trait());
		if (conviction != null && conviction.trials() < trial.number()) {
			conviction.tried(now);
		}
	}

	private List<Conviction> refused(Collection<Trait> traits) {
		return traits.stream().distinct().filter(this.convictions::containsKey).map(this.convictions::get).toList();
	}

	/**
	 * Takes in what another node told.
	 * @param now the time in milliseconds
	 * @param clock the Unix millisecond
	 * @param note what it told
	 * @return what changed
	 */
	public NoteEffect onNote(long now, long clock, CrashNote note) {
		this.evidence.seesFrom(now);
		long told = clock - note.writtenAt();
		long lag = (told >= MIN_LAG_MILLIS) ? told : 0;
		if (lag > Conviction.QUIET_MILLIS) {
			return new NoteEffect(List.of(), List.of());
		}
		note.sound().forEach((trait, age) -> this.sound.mark(now - lag - age, trait));
		List<Trait> cleared = clear(note.sound().keySet());
		for (CrashNote.NotedCrash each : note.crashes()) {
			if (lag + each.ageMillis() < CrashEvidence.MEMORY_MILLIS) {
				add(now, new Crash(each.process(), now - lag - each.ageMillis(), each.ran()));
			}
		}
		List<Trait> refused = new ArrayList<>();
		for (CrashNote.NotedBlock each : note.refused()) {
			if (adopt(now, lag, each)) {
				refused.add(each.trait());
			}
		}
		refused.addAll(judge(now));
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
			this.evidence.find(each.process()).ifPresent((crash) -> this.own.putIfAbsent(each.process(), crash));
		}
		return learned;
	}

	private boolean adopt(long now, long lag, CrashNote.NotedBlock told) {
		boolean soundSince = this.sound.last(told.trait()) > now - lag - told.crashAgeMillis();
		if (soundSince || this.evidence.explained(told.trait())) {
			return false;
		}
		boolean known = this.convictions.containsKey(told.trait());
		if (!known) {
			convict(new Conviction(told.trait(), now - lag - told.seenAgeMillis(), now - lag - told.crashAgeMillis()));
		}
		this.convictions.get(told.trait()).learn(now, told, lag);
		return !known;
	}

	/**
	 * Says whether others are to be told that a trait is sound: it was at crashes that
	 * they know, or they refuse it.
	 * @param traits the traits of a request that went well
	 * @return true once after each crash
	 */
	public boolean shouldReportSuccess(Collection<Trait> traits) {
		if (!this.evidence.any()) {
			return false;
		}
		List<Trait> accused = this.evidence.accused(traits);
		return this.toldSound.addAll(accused);
	}

	/**
	 * Returns what is known, to tell other nodes.
	 * @param now the time in milliseconds
	 * @param clock the Unix millisecond
	 * @return the note, empty if nothing is known
	 */
	public Optional<CrashNote> buildNote(long now, long clock) {
		forget(now);
		List<CrashNote.NotedCrash> ended = this.own.values()
			.stream()
			.map((crash) -> crash.retainTraits(mostSuspect(crash)))
			.map((crash) -> new CrashNote.NotedCrash(crash.processName(), now - crash.at(), crash.runMillis()))
			.toList();
		Set<Trait> accused = new LinkedHashSet<>(this.convictions.keySet());
		accused.addAll(this.acquitted.keySet());
		this.evidence.open().forEach((crash) -> accused.addAll(crash.traits()));
		Map<Trait, Long> marks = new HashMap<>();
		accused.stream()
			.filter(this.sound::any)
			.sorted(Comparator.comparingLong(this.sound::last).reversed())
			.limit(MAX_TOLD)
			.forEach((trait) -> marks.put(trait, Math.max(0, now - this.sound.last(trait))));
		List<CrashNote.NotedBlock> refused = this.convictions.values()
			.stream()
			.sorted(Comparator.comparingLong(Conviction::seenAt).reversed())
			.limit(MAX_TOLD)
			.map((conviction) -> conviction.tell(now))
			.toList();
		this.toldRefused.clear();
		refused.forEach((each) -> this.toldRefused.add(each.trait()));
		CrashNote note = new CrashNote(clock, ended, marks, refused);
		return note.empty() ? Optional.empty() : Optional.of(note);
	}

	/**
	 * Says whether this node told that traits are refused which are not any more.
	 * @param cleared the traits
	 * @return true if its note is to be written again
	 */
	public boolean hasReportedAnyBlocked(Collection<Trait> cleared) {
		return cleared.stream().anyMatch(this.toldRefused::contains);
	}

	/**
	 * Returns the traits of a crash that were sound longest ago, or never, and of those
	 * the ones that were at most crashes.
	 */
	private Set<Trait> mostSuspect(Crash crash) {
		return new HashSet<>(crash.traits()
			.stream()
			.sorted(Comparator.comparingLong(this.sound::last)
				.thenComparing(Comparator.comparingInt(this::crashCount).reversed())
				.thenComparing(Trait::kind))
			.limit(MAX_TOLD_TRAITS)
			.toList());
	}

	/**
	 * Returns how many remembered crashes a trait was at, whatever explains them.
	 * @param trait the trait
	 * @return the number
	 */
	public int crashCount(Trait trait) {
		return this.evidence.countWith(trait);
	}

	/**
	 * Returns how many traits are refused.
	 * @return the number
	 */
	public int blockedCount() {
		return this.convictions.size();
	}

	/**
	 * Says whether any crash is remembered, or anything refused.
	 * @return true if so
	 */
	public boolean hasCrashEvidence() {
		return this.evidence.any() || !this.convictions.isEmpty();
	}

	/**
	 * Says whether crashes are so recent that others' news of them are awaited.
	 * @param now the time in milliseconds
	 * @return true if so
	 */
	public boolean isAwaitingNotes(long now) {
		return now - this.lastCrashAt < UNSETTLED_MILLIS;
	}

	/**
	 * Says whether this node refuses anything of which no node has told the others yet.
	 * @return true if so
	 */
	public boolean hasUnreportedBlocks() {
		return this.convictions.values().stream().anyMatch((conviction) -> !conviction.told());
	}

	/**
	 * Finds out what is to be refused by now. Is to be called some times a second.
	 * @param now the time in milliseconds
	 * @return the traits that are refused from now on
	 */
	public List<Trait> reevaluate(long now) {
		this.evidence.seesFrom(now);
		return this.evidence.any() ? judge(now) : List.of();
	}

	private List<Trait> judge(long now) {
		forget(now);
		List<Trait> convicted = new ArrayList<>();
		Optional<CrashEvidence.Accused> worst = this.evidence.worst(now);
		while (worst.isPresent()) {
			Trait trait = worst.get().trait();
			convict(new Conviction(trait, now, worst.get().lastAt()));
			convicted.add(trait);
			worst = this.evidence.worst(now);
		}
		return convicted;
	}

	private void convict(Conviction conviction) {
		if (this.convictions.size() >= MAX_CONVICTIONS) {
			this.convictions.values()
				.stream()
				.min(Comparator.comparingLong(Conviction::seenAt))
				.ifPresent((oldest) -> this.convictions.remove(oldest.trait()));
		}
		this.convictions.put(conviction.trait(), conviction);
		List<Trait> others = this.convictions.keySet()
			.stream()
			.filter((trait) -> !trait.equals(conviction.trait()))
			.filter(this.evidence::explained)
			.toList();
		this.convictions.keySet().removeAll(others);
	}

	private void forget(long now) {
		this.evidence.forget(now);
		this.own.values().removeIf((crash) -> now - crash.at() >= CrashEvidence.MEMORY_MILLIS);
		this.convictions.values().removeIf((conviction) -> conviction.over(now));
		this.acquitted.values().removeIf((at) -> now - at > Conviction.QUIET_MILLIS);
		if (!this.evidence.any()) {
			this.toldSound.clear();
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
