package org.gullsaddle.serve;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Tries a new release under load while it has a small share of the requests: its replicas
 * are filled one after the other, in an order that is the same on every node. Spread over
 * all of them a small share is no load, and a release that fails under load looks sound.
 * Confined to one thread.
 */
final class LoadTrial {

	/** Up to which part of its slots a replica is filled before the next one is used. */
	private static final double FULL_LOAD = 0.75;

	/** Which part of a replica's slots must have run at once for a trial under load. */
	private static final double TRIAL_LOAD = 0.5;

	/** Which part of its slots may wait at a replica before the next one is used. */
	private static final double MAX_WAITING = 0.25;

	/** How long a replica is taken to be as full as it told, in milliseconds. */
	private static final long TOLD_MILLIS = 1000;

	private final String target;

	private final Map<ReplicaId, Long> fullUntil = new HashMap<>();

	private final Map<ReplicaId, Loaded> loaded = new HashMap<>();

	private double triedLoad;

	private int answersUnderLoad;

	LoadTrial(String target) {
		this.target = target;
	}

	/**
	 * Returns which part of a replica's slots is in use.
	 */
	static double part(LoadReport load) {
		return (double) load.running() / load.slots();
	}

	/**
	 * Takes in what a replica of the new release told of its load with an answer.
	 * @param sentAt when the request was sent
	 */
	void told(long now, Replica replica, LoadReport load, long sentAt) {
		this.triedLoad = Math.max(this.triedLoad, part(load));
		if (part(load) >= TRIAL_LOAD) {
			Loaded before = this.loaded.get(replica.id());
			boolean goesOn = before != null && now - before.until <= TOLD_MILLIS;
			// A load that is told soon is the one that the request came to.
			long from = (now - sentAt <= TOLD_MILLIS) ? sentAt : now;
			this.loaded.put(replica.id(), new Loaded(goesOn ? before.from : from, now));
		}
		if (underLoad(replica.id(), sentAt)) {
			this.answersUnderLoad++;
		}
		boolean full = part(load) >= FULL_LOAD || load.waiting() > Math.max(1, MAX_WAITING * load.slots());
		if (full) {
			this.fullUntil.put(replica.id(), now + TOLD_MILLIS);
		}
		else {
			this.fullUntil.remove(replica.id());
		}
	}

	/**
	 * Says whether a request came to a replica that ran as much as a trial takes.
	 * @param sentAt when it was sent
	 */
	boolean underLoad(ReplicaId replica, long sentAt) {
		Loaded times = this.loaded.get(replica);
		return times != null && sentAt >= times.from && sentAt <= times.until;
	}

	/**
	 * Chooses the replicas that a request may go to. Those with the smallest prompts fill
	 * one; large prompts, which are read one after the other and would keep its slots
	 * empty, go to the others.
	 * @param replicas those of the new release
	 * @param leftOut those that the request may not be sent to
	 * @param smallest whether the request's prompt is among the smallest
	 * @return some of them, or all if the request may be sent to none of them
	 */
	List<Replica> fill(long now, List<Replica> replicas, Set<ReplicaId> leftOut, boolean smallest) {
		List<Replica> open = replicas.stream()
			.filter((replica) -> !leftOut.contains(replica.id()))
			.sorted(Comparator
				.comparingDouble((replica) -> KeyHash.toUnitInterval(replica.id().value() + '@' + this.target)))
			.toList();
		if (open.isEmpty()) {
			return replicas;
		}
		if (!smallest) {
			return open.subList(Math.min(1, open.size() - 1), open.size());
		}
		return List.of(open.stream().filter((replica) -> !full(now, replica)).findFirst().orElse(open.get(0)));
	}

	private boolean full(long now, Replica replica) {
		return now < this.fullUntil.getOrDefault(replica.id(), Long.MIN_VALUE);
	}

	/**
	 * Returns the most that ran at once at a replica of the new release, as a part of its
	 * slots.
	 */
	double triedLoad() {
		return this.triedLoad;
	}

	/**
	 * Returns how many requests were answered that came to a replica which ran as much as
	 * a trial takes.
	 */
	int answersUnderLoad() {
		return this.answersUnderLoad;
	}

	/**
	 * When a replica last ran as much as a trial takes.
	 *
	 * @param from when it was first told
	 * @param until when it was last told
	 */
	private record Loaded(long from, long until) {
	}

}
