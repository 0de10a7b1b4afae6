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
	 * How long after a replica is known to leave its end may be a planned one. It keeps
	 * running for seconds, but the notice takes a while to arrive.
	 */
	private static final long MIN_PLANNED_STOP_MILLIS = 1000;

	private static final int MAX_RECENT_CRASHES = 100;

	private static final int MAX_LEAVING = 1000;

	private static final int MAX_CLOSE_DELIMITED = 256;

	private final Map<ReplicaId, List<EndedAttempt>> endedAttempts = new HashMap<>();

	/** The crashes found lately, by process name. */
	private final Map<String, Crash> recentCrashes = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Crash> eldest) {
			return size() > MAX_RECENT_CRASHES;
		}
	};

	/** Since when replicas are known to be leaving, in milliseconds. */
	private final Map<ReplicaId, Long> leavingSince = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ReplicaId, Long> eldest) {
			return size() > MAX_LEAVING;
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
	 * Handles the end of an attempt whose answer is not known to be complete.
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
		if (now - this.leavingSince.getOrDefault(replica.id(), now) >= MIN_PLANNED_STOP_MILLIS) {
			return Optional.empty();
		}
		EndedAttempt one = new EndedAttempt(replica, startedAt, now, kind, List.copyOf(traits));
		Crash recent = this.recentCrashes.get(Crash.processName(replica));
		if (recent != null) {
			boolean belongs = Math.abs(now - recent.at()) <= MAX_CRASH_SPREAD_MILLIS;
			return belongs ? Optional.of(crash(recent.processName(), recent.at(), List.of(one))) : Optional.empty();
		}
		List<EndedAttempt> list = this.endedAttempts.computeIfAbsent(replica.id(), (id) -> new ArrayList<>());
		list.removeIf((each) -> now - each.at > MAX_DETECTION_MILLIS);
		list.add(one);
		return Optional.empty();
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
		return last.map((end) -> {
			list.removeIf((each) -> Math.abs(each.at - end.at) > MAX_CRASH_SPREAD_MILLIS);
			Crash crash = crash(Crash.processName(end.replica), end.at, list);
			this.recentCrashes.put(crash.processName(), crash);
			return crash;
		});
	}

	private static Optional<EndedAttempt> findLast(List<EndedAttempt> list, EndKind kind) {
		return list.stream().filter((each) -> each.manner == kind).reduce((one, later) -> later);
	}

	private static Crash crash(String process, long at, List<EndedAttempt> list) {
		Map<Trait, Long> ran = new LinkedHashMap<>();
		for (EndedAttempt each : list) {
			each.traits.forEach((trait) -> ran.merge(trait, Math.max(0, each.at - each.startedAt), Math::min));
		}
		return new Crash(process, at, ran);
	}

	/**
	 * Handles a replica's entry, which may show that a new process has its id.
	 * @param now the time in milliseconds
	 * @param replica the replica as listed
	 * @return the crash, if requests ran on the previous process when it died
	 */
	public Optional<Crash> onListed(long now, Replica replica) {
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

	private record EndedAttempt(Replica replica, long startedAt, long at, EndKind manner, List<Trait> traits) {
	}

}
