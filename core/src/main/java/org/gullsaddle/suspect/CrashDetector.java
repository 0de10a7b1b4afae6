package org.gullsaddle.suspect;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Detects replicas' processes that end while requests run there, from what one node
 * observes, and which requests those were. Confined to one thread.
 * <p>
 * A broken connection alone is no crash. If the replica is found dead soon after, the
 * attempts whose connections broke, or that were cancelled at the same moment, may have
 * caused it. A close-delimited answer, which has no length and ends with its connection,
 * may be complete or not: it is if the replica answers a later request, and it is not if
 * the replica is found dead.
 * <p>
 * A replica may also go silent with its connections open. If it sends nothing more until
 * it is found dead, the attempts that it had when it went silent may have caused it.
 */
public final class CrashDetector {

	/**
	 * How long after a broken connection a replica's death explains it: a replica's entry
	 * lapses after three heartbeats of 1.2 s, and nodes learn of that a second later.
	 */
	private static final long MAX_DETECTION_MILLIS = 6000;

	/** How far apart the ends of attempts at one crash may be. */
	private static final long MAX_CRASH_SPREAD_MILLIS = 1000;

	/**
	 * How long after a replica was last heard an attempt may start that silenced it. A
	 * replica that leaves an earlier request unanswered for longer was silent before.
	 */
	private static final long MAX_ONSET_MILLIS = 500;

	/**
	 * How long after a replica is known to leave its end may be a planned one. It keeps
	 * running for seconds, but the notice takes a while to arrive.
	 */
	private static final long MIN_PLANNED_STOP_MILLIS = 1000;

	private static final int MAX_RECENT_CRASHES = 100;

	private static final int MAX_REPLICAS = 1000;

	private static final int MAX_CLOSE_DELIMITED = 256;

	private final Map<ReplicaId, List<EndedAttempt>> endedAttempts = new HashMap<>();

	/** The crashes found lately, by process name. */
	private final Map<String, FoundCrash> recentCrashes = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, FoundCrash> eldest) {
			return size() > MAX_RECENT_CRASHES;
		}
	};

	/** The replicas that were taken for dead only as they were silent. */
	private final Map<ReplicaId, Replica> silentDeaths = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ReplicaId, Replica> eldest) {
			return size() > MAX_RECENT_CRASHES;
		}
	};

	/**
	 * The replicas' listed processes, empty for replicas that are not listed any more.
	 */
	private final Map<ReplicaId, Optional<Replica>> listedProcesses = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ReplicaId, Optional<Replica>> eldest) {
			return size() > MAX_REPLICAS;
		}
	};

	/** Since when replicas are known to be leaving, in milliseconds. */
	private final Map<ReplicaId, Long> leavingSince = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ReplicaId, Long> eldest) {
			return size() > MAX_REPLICAS;
		}
	};

	/** The contents of requests with recent close-delimited answers. */
	private final Map<Trait, Boolean> closeDelimitedContents = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Boolean> eldest) {
			return size() > MAX_CLOSE_DELIMITED;
		}
	};

	/**
	 * Handles the end of an attempt at a replica that was not silent, whose answer is not
	 * known to be complete.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param startedAt when the request was sent, in milliseconds
	 * @param kind how it ended
	 * @param traits the request's traits
	 * @return the crash that was found before, with this attempt's traits, if the attempt
	 * belongs to it
	 */
	public Optional<Crash> onAttemptEnd(long now, Replica replica, long startedAt, EndKind kind,
			Collection<Trait> traits) {
		return onAttemptEnd(now, replica, startedAt, OptionalLong.empty(), kind, traits);
	}

	/**
	 * Handles the end of an attempt whose answer is not known to be complete.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param startedAt when the request was sent, in milliseconds
	 * @param silentSince since when the attempt waited and nothing was received from the
	 * replica on any connection, in milliseconds, if that is longer than expected of a
	 * living replica
	 * @param kind how it ended
	 * @param traits the request's traits
	 * @return the crash to which the attempt belongs, with this attempt's traits at
	 * least, if its replica is known to be dead
	 */
	public Optional<Crash> onAttemptEnd(long now, Replica replica, long startedAt, OptionalLong silentSince,
			EndKind kind, Collection<Trait> traits) {
		EndedAttempt one = new EndedAttempt(replica, startedAt, now, silentSince, kind, List.copyOf(traits));
		if (isPlannedStop(one)) {
			return Optional.empty();
		}
		FoundCrash recent = this.recentCrashes.get(Crash.processName(replica));
		if (recent != null) {
			return recent.includes(one)
					? Optional.of(crash(replica, recent.crash.at(), recent.crash.silent(), List.of(one)))
					: Optional.empty();
		}
		List<EndedAttempt> list = this.endedAttempts.computeIfAbsent(replica.id(), (id) -> new ArrayList<>());
		list.removeIf((each) -> now - each.at > MAX_DETECTION_MILLIS);
		list.add(one);
		return (one.isSilent() && isReplaced(replica)) ? onDead(now, replica.id()) : Optional.empty();
	}

	/**
	 * Returns whether a replica's end may be a planned one. A replica that went silent
	 * before it was known to leave did not end as planned.
	 */
	private boolean isPlannedStop(EndedAttempt one) {
		Long since = this.leavingSince.get(one.replica.id());
		if (since == null) {
			return false;
		}
		return one.isSilent() ? one.silentSince.getAsLong() >= since : one.at - since >= MIN_PLANNED_STOP_MILLIS;
	}

	/**
	 * Returns whether a replica's entry is gone or is that of another process.
	 */
	private boolean isReplaced(Replica replica) {
		Optional<Replica> listed = this.listedProcesses.get(replica.id());
		return listed != null && listed.filter(replica::isSameProcess).isEmpty();
	}

	/**
	 * Handles bytes that a replica sent: it did not end when it was silent before.
	 * @param replica the replica
	 * @return whether it had been taken for dead
	 */
	public boolean onBytes(Replica replica) {
		List<EndedAttempt> list = this.endedAttempts.get(replica.id());
		if (list != null) {
			list.replaceAll((each) -> each.replica.isSameProcess(replica) ? each.withoutSilence() : each);
		}
		Replica dead = this.silentDeaths.get(replica.id());
		if (dead == null || !dead.isSameProcess(replica)) {
			return false;
		}
		this.silentDeaths.remove(replica.id());
		this.recentCrashes.remove(Crash.processName(replica));
		return true;
	}

	/**
	 * Records a close-delimited answer to a content.
	 * @param content the request's content
	 * @return whether this content had a close-delimited answer before
	 */
	public boolean recordCloseDelimited(Trait content) {
		return this.closeDelimitedContents.put(content, true) != null;
	}

	/**
	 * Returns whether a replica sent close-delimited answers that are not known to be
	 * complete.
	 * @param replica the replica
	 * @return true if there are such answers
	 */
	public boolean hasUnconfirmedAnswers(Replica replica) {
		return this.endedAttempts.getOrDefault(replica.id(), List.of())
			.stream()
			.anyMatch((each) -> each.manner == EndKind.CLOSE_DELIMITED && each.replica.isSameProcess(replica));
	}

	/**
	 * Handles the notice that a replica is about to stop, or is no longer listed.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onLeaving(long now, ReplicaId replica) {
		this.leavingSince.putIfAbsent(replica, now);
	}

	/**
	 * Handles an answer of a replica, which proves that it is alive.
	 * @param replica the replica
	 * @param sentAt when the request that it answers was sent, in milliseconds
	 * @return the traits of earlier close-delimited answers that are now known to be
	 * complete
	 */
	public Set<Trait> onAnswer(Replica replica, long sentAt) {
		return confirmAlive(replica, sentAt, EnumSet.allOf(EndKind.class));
	}

	/**
	 * Handles a connection that a replica accepted, which proves that earlier
	 * close-delimited answers are complete. It does not explain why other connections
	 * broke.
	 * @param replica the replica
	 * @param askedAt when the connection was requested, in milliseconds
	 * @return the traits of earlier close-delimited answers that are now known to be
	 * complete
	 */
	public Set<Trait> onConnectionAccepted(Replica replica, long askedAt) {
		return confirmAlive(replica, askedAt, EnumSet.of(EndKind.CLOSE_DELIMITED));
	}

	private Set<Trait> confirmAlive(Replica replica, long since, Set<EndKind> settled) {
		List<EndedAttempt> list = this.endedAttempts.get(replica.id());
		if (list == null) {
			return Set.of();
		}
		Set<Trait> complete = new LinkedHashSet<>();
		list.removeIf((each) -> {
			boolean settledNow = each.replica.isSameProcess(replica) && each.at < since
					&& settled.contains(each.manner);
			if (settledNow && each.manner == EndKind.CLOSE_DELIMITED) {
				complete.addAll(each.traits);
			}
			return settledNow;
		});
		if (list.isEmpty()) {
			this.endedAttempts.remove(replica.id());
		}
		return complete;
	}

	/**
	 * Handles the finding that a replica is dead: nothing listens there, its entry is
	 * gone, or another process has its id or its address.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return the crash, if requests ran there when it died
	 */
	public Optional<Crash> onDead(long now, ReplicaId replica) {
		List<EndedAttempt> list = this.endedAttempts.remove(replica);
		if (list == null) {
			return Optional.empty();
		}
		list.removeIf((each) -> now - each.at > MAX_DETECTION_MILLIS);
		// A replica that lived on after a close-delimited answer did not crash on that
		// request.
		Optional<EndedAttempt> last = findLast(list, EndKind.BROKEN)
			.or(() -> findLast(list, EndKind.CLOSE_DELIMITED).filter((end) -> now - end.at <= MAX_CRASH_SPREAD_MILLIS));
		OptionalLong silentSince = list.stream().flatMapToLong((each) -> each.silentSince.stream()).min();
		if (last.isEmpty() && silentSince.isEmpty()) {
			return Optional.empty();
		}
		long brokenAt = last.map(EndedAttempt::at).orElse(Long.MIN_VALUE / 2);
		long silentAt = silentSince.orElse(Long.MIN_VALUE / 2);
		list.removeIf((each) -> !each.isAt(brokenAt) && !each.isSilencedAt(silentAt));
		FoundCrash found = foundCrash(list, last, silentAt);
		this.recentCrashes.put(found.crash.processName(), found);
		if (last.isEmpty()) {
			this.silentDeaths.put(replica, list.get(0).replica);
		}
		return Optional.of(found.crash);
	}

	private static Optional<EndedAttempt> findLast(List<EndedAttempt> list, EndKind kind) {
		return list.stream().filter((each) -> each.manner == kind).reduce((one, later) -> later);
	}

	private static FoundCrash foundCrash(List<EndedAttempt> list, Optional<EndedAttempt> last, long silentAt) {
		long at = last.map(EndedAttempt::at)
			.orElseGet(() -> list.stream().flatMapToLong((each) -> each.silentSince.stream()).max().orElse(silentAt));
		Replica replica = last.map(EndedAttempt::replica).orElseGet(() -> list.get(0).replica);
		return new FoundCrash(crash(replica, at, last.isEmpty(), list), silentAt);
	}

	private static Crash crash(Replica replica, long at, boolean silent, List<EndedAttempt> list) {
		Map<Trait, Long> ran = new LinkedHashMap<>();
		for (EndedAttempt each : list) {
			long runMillis = Math.max(0, Math.min(at, each.at) - each.startedAt);
			each.traits.forEach((trait) -> ran.merge(trait, runMillis, Math::min));
		}
		return new Crash(Crash.processName(replica), at, ran, silent);
	}

	/**
	 * Handles the removal of a replica's entry: the replica died or is about to stop.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return the crash, if requests ran there when it died
	 */
	public Optional<Crash> onUnlisted(long now, ReplicaId replica) {
		this.listedProcesses.put(replica, Optional.empty());
		onLeaving(now, replica);
		return onDead(now, replica);
	}

	/**
	 * Handles a replica's entry, which may show that a new process has its id.
	 * @param now the time in milliseconds
	 * @param replica the replica as listed
	 * @return the crash, if requests ran on the previous process when it died
	 */
	public Optional<Crash> onListed(long now, Replica replica) {
		this.listedProcesses.put(replica.id(), Optional.of(replica));
		if (replica.draining()) {
			onLeaving(now, replica.id());
		}
		else {
			this.leavingSince.remove(replica.id());
		}
		List<EndedAttempt> list = this.endedAttempts.get(replica.id());
		boolean replaced = list != null && !list.get(0).replica.isSameProcess(replica);
		return replaced ? onDead(now, replica.id()) : Optional.empty();
	}

	/**
	 * How an attempt ended.
	 */
	public enum EndKind {

		/** Its connection broke. */
		BROKEN,

		/** Its answer had no length and ended with the connection. */
		CLOSE_DELIMITED,

		/** It was cancelled, or its caller left, before it ended. */
		CANCELLED

	}

	private record EndedAttempt(Replica replica, long startedAt, long at, OptionalLong silentSince, EndKind manner,
			List<Trait> traits) {

		boolean isSilent() {
			return this.silentSince.isPresent();
		}

		EndedAttempt withoutSilence() {
			return new EndedAttempt(this.replica, this.startedAt, this.at, OptionalLong.empty(), this.manner,
					this.traits);
		}

		/**
		 * Returns whether it ended when connections to its replica broke.
		 */
		boolean isAt(long brokenAt) {
			return Math.abs(this.at - brokenAt) <= MAX_CRASH_SPREAD_MILLIS;
		}

		/**
		 * Returns whether it ran when its replica went silent.
		 */
		boolean isSilencedAt(long silentAt) {
			return this.at >= silentAt && this.startedAt <= silentAt + MAX_ONSET_MILLIS;
		}

	}

	/**
	 * A crash that was found.
	 *
	 * @param silentAt since when the replica had been silent before, in milliseconds
	 */
	private record FoundCrash(Crash crash, long silentAt) {

		/**
		 * Returns whether an attempt that ended later belongs to it.
		 */
		boolean includes(EndedAttempt one) {
			return (!this.crash.silent() && one.isAt(this.crash.at())) || one.isSilencedAt(this.silentAt);
		}

	}

}
