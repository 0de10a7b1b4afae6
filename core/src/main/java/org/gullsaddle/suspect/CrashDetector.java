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
 * Finds the ends of replicas' processes under work, and what ran there then, from what
 * one node sees. Confined to one thread.
 * <p>
 * A broken connection alone says little. If the replica is found dead soon after, what
 * broke off there, or was given up in the same moment, may have been the cause. An answer
 * that ends with its connection, without a length, may be whole or not: that shows when
 * the replica answers a later request, or is found dead.
 */
public final class CrashDetector {

	/**
	 * How long after a broken connection a replica's death explains it, in milliseconds:
	 * an entry lapses after three heartbeats of 1.2 s, and that takes a second to tell.
	 */
	private static final long MAX_DETECTION_MILLIS = 6000;

	/** How far the ends of attempts at one crash are apart at most, in milliseconds. */
	private static final long MAX_CRASH_SPREAD_MILLIS = 1000;

	/**
	 * How long after it was heard that a replica leaves its end may be a planned one, in
	 * milliseconds: it goes on for seconds, but the news take a while.
	 */
	private static final long MIN_PLANNED_STOP_MILLIS = 1000;

	private static final int MAX_RECENT_CRASHES = 100;

	private static final int MAX_LEAVING = 1000;

	private static final int MAX_CLOSE_DELIMITED = 256;

	private final Map<ReplicaId, List<EndedAttempt>> endedAttempts = new HashMap<>();

	/** The processes that were found dead lately. */
	private final Map<String, Crash> recentCrashes = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Crash> eldest) {
			return size() > MAX_RECENT_CRASHES;
		}
	};

	/** Since when replicas are known to leave. */
	private final Map<ReplicaId, Long> leavingSince = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<ReplicaId, Long> eldest) {
			return size() > MAX_LEAVING;
		}
	};

	/** The contents of requests whose answers ended with their connections lately. */
	private final Map<Trait, Boolean> closeDelimitedContents = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Trait, Boolean> eldest) {
			return size() > MAX_CLOSE_DELIMITED;
		}
	};

	/**
	 * Notes that an attempt ended without a whole answer that could be told as such.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param startedAt when the request was sent, in milliseconds
	 * @param manner how it ended
	 * @param traits the request's traits
	 * @return a crash that was found before, if this is a part of it
	 */
	public Optional<Crash> onAttemptEnd(long now, Replica replica, long startedAt, EndKind manner,
			Collection<Trait> traits) {
		if (now - this.leavingSince.getOrDefault(replica.id(), now) >= MIN_PLANNED_STOP_MILLIS) {
			return Optional.empty();
		}
		EndedAttempt one = new EndedAttempt(replica, startedAt, now, manner, List.copyOf(traits));
		Crash known = this.recentCrashes.get(Crash.processName(replica));
		if (known != null) {
			boolean same = Math.abs(now - known.at()) <= MAX_CRASH_SPREAD_MILLIS;
			return same ? Optional.of(crash(known.processName(), known.at(), List.of(one))) : Optional.empty();
		}
		List<EndedAttempt> list = this.endedAttempts.computeIfAbsent(replica.id(), (id) -> new ArrayList<>());
		list.removeIf((each) -> now - each.at > MAX_DETECTION_MILLIS);
		list.add(one);
		return Optional.empty();
	}

	/**
	 * Notes that an answer without a length ended with its connection.
	 * @param content the request's content
	 * @return whether another one to this content did so before
	 */
	public boolean isRepeatedCloseDelimited(Trait content) {
		return this.closeDelimitedContents.put(content, true) != null;
	}

	/**
	 * Says whether answers without a length ended at a replica of which it is not known
	 * whether they are whole.
	 * @param replica the replica
	 * @return true if so
	 */
	public boolean hasUnconfirmedAnswers(Replica replica) {
		return this.endedAttempts.getOrDefault(replica.id(), List.of())
			.stream()
			.anyMatch((each) -> each.manner == EndKind.CLOSE_DELIMITED && each.replica.isSameProcess(replica));
	}

	/**
	 * Notes that a replica is about to stop, or is not listed any more.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onLeaving(long now, ReplicaId replica) {
		this.leavingSince.putIfAbsent(replica, now);
	}

	/**
	 * Notes that a replica answered, so that it lives.
	 * @param replica the replica
	 * @param sentAt when the request was sent that it answers, in milliseconds
	 * @return traits of earlier answers that are known to be whole by that
	 */
	public Set<Trait> onAnswer(Replica replica, long sentAt) {
		return confirmAlive(replica, sentAt, EnumSet.allOf(EndKind.class));
	}

	/**
	 * Notes that a replica accepts connections, so that answers without a length that
	 * ended before are whole. Why others broke off is still open.
	 * @param replica the replica
	 * @param askedAt when it was asked, in milliseconds
	 * @return traits of earlier answers that are known to be whole by that
	 */
	public Set<Trait> onConnectionAccepted(Replica replica, long askedAt) {
		return confirmAlive(replica, askedAt, EnumSet.of(EndKind.CLOSE_DELIMITED));
	}

	private Set<Trait> confirmAlive(Replica replica, long since, Set<EndKind> settled) {
		List<EndedAttempt> list = this.endedAttempts.get(replica.id());
		if (list == null) {
			return Set.of();
		}
		Set<Trait> whole = new LinkedHashSet<>();
		list.removeIf((each) -> {
			boolean over = each.replica.isSameProcess(replica) && each.at < since && settled.contains(each.manner);
			if (over && each.manner == EndKind.CLOSE_DELIMITED) {
				whole.addAll(each.traits);
			}
			return over;
		});
		if (list.isEmpty()) {
			this.endedAttempts.remove(replica.id());
		}
		return whole;
	}

	/**
	 * Notes that a replica is dead: nothing listens there, its entry is gone, or another
	 * process has its id or its address.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return the crash, if anything ran there when it died
	 */
	public Optional<Crash> onDead(long now, ReplicaId replica) {
		List<EndedAttempt> list = this.endedAttempts.remove(replica);
		if (list == null) {
			return Optional.empty();
		}
		list.removeIf((each) -> now - each.at > MAX_DETECTION_MILLIS);
		// One that lived on after an answer without a length did not end under it.
		Optional<EndedAttempt> last = findLast(list, EndKind.BROKEN)
			.or(() -> findLast(list, EndKind.CLOSE_DELIMITED).filter((end) -> now - end.at <= MAX_CRASH_SPREAD_MILLIS));
		return last.map((end) -> {
			list.removeIf((each) -> Math.abs(each.at - end.at) > MAX_CRASH_SPREAD_MILLIS);
			Crash crash = crash(Crash.processName(end.replica), end.at, list);
			this.recentCrashes.put(crash.processName(), crash);
			return crash;
		});
	}

	private static Optional<EndedAttempt> findLast(List<EndedAttempt> list, EndKind manner) {
		return list.stream().filter((each) -> each.manner == manner).reduce((one, later) -> later);
	}

	private static Crash crash(String process, long at, List<EndedAttempt> list) {
		Map<Trait, Long> ran = new LinkedHashMap<>();
		for (EndedAttempt each : list) {
			each.traits.forEach((trait) -> ran.merge(trait, Math.max(0, each.at - each.startedAt), Math::min));
		}
		return new Crash(process, at, ran);
	}

	/**
	 * Notes a replica's entry, which may tell that another process has its id.
	 * @param now the time in milliseconds
	 * @param replica the entry
	 * @return the crash, if anything ran there when the process before died
	 */
	public Optional<Crash> onListed(long now, Replica replica) {
		if (replica.draining()) {
			onLeaving(now, replica.id());
		}
		else {
			this.leavingSince.remove(replica.id());
		}
		List<EndedAttempt> list = this.endedAttempts.get(replica.id());
		boolean another = list != null && !list.get(0).replica.isSameProcess(replica);
		return another ? onDead(now, replica.id()) : Optional.empty();
	}

	/**
	 * How an attempt ended.
	 */
	public enum EndKind {

		/** Its connection broke. */
		BROKEN,

		/** Its answer ended with the connection and had no length. */
		CLOSE_DELIMITED,

		/** It was given up, or its caller left, before it ended. */
		CANCELLED

	}

	private record EndedAttempt(Replica replica, long startedAt, long at, EndKind manner, List<Trait> traits) {
	}

}
