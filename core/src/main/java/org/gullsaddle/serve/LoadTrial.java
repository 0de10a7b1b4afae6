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
 * all of them, a small share is hardly any load, and a release that fails under load
 * looks good. Confined to one thread.
 */
final class LoadTrial {

	/**
	 * The ratio of busy slots at which a replica counts as full and the next one is used.
	 */
	private static final double FULL_LOAD_RATIO = 0.75;

	/** The ratio of busy slots from which a replica counts as under load. */
	private static final double TRIAL_LOAD_RATIO = 0.5;

	/**
	 * The queue length, as a ratio of the slots, above which the next replica is used.
	 */
	private static final double MAX_WAITING_RATIO = 0.25;

	/** How long a load report counts, in milliseconds. */
	private static final long REPORT_VALID_MILLIS = 1000;

	private final String target;

	private final Map<ReplicaId, Long> fullUntil = new HashMap<>();

	private final Map<ReplicaId, LoadedPeriod> loadedPeriods = new HashMap<>();

	private double triedLoad;

	private int answersUnderLoad;

	LoadTrial(String target) {
		this.target = target;
	}

	/**
	 * Returns the ratio of a replica's slots that are busy.
	 */
	static double loadRatio(LoadReport load) {
		return (double) load.running() / load.slots();
	}

	/**
	 * Handles the load that a replica of the new release reported with an answer.
	 * @param sentAt when the request was sent
	 */
	void onLoadReported(long now, Replica replica, LoadReport load, long sentAt) {
		this.triedLoad = Math.max(this.triedLoad, loadRatio(load));
		if (loadRatio(load) >= TRIAL_LOAD_RATIO) {
			LoadedPeriod before = this.loadedPeriods.get(replica.id());
			boolean continues = before != null && now - before.until <= REPORT_VALID_MILLIS;
			// A load reported soon after the request was sent is the one that it met.
			long from = (now - sentAt <= REPORT_VALID_MILLIS) ? sentAt : now;
			this.loadedPeriods.put(replica.id(), new LoadedPeriod(continues ? before.from : from, now));
		}
		if (wasUnderLoad(replica.id(), sentAt)) {
			this.answersUnderLoad++;
		}
		boolean full = loadRatio(load) >= FULL_LOAD_RATIO
				|| load.waiting() > Math.max(1, MAX_WAITING_RATIO * load.slots());
		if (full) {
			this.fullUntil.put(replica.id(), now + REPORT_VALID_MILLIS);
		}
		else {
			this.fullUntil.remove(replica.id());
		}
	}

	/**
	 * Returns whether a request met a replica under enough load for a trial.
	 * @param sentAt when it was sent
	 */
	boolean wasUnderLoad(ReplicaId replica, long sentAt) {
		LoadedPeriod period = this.loadedPeriods.get(replica);
		return period != null && sentAt >= period.from && sentAt <= period.until;
	}

	/**
	 * Chooses the replicas that a request may be sent to. Requests with the smallest
	 * prompts fill one replica. Large prompts, which are read one after the other and
	 * would keep its slots empty, go to the others.
	 * @param replicas the replicas of the new release
	 * @param excluded those that the request may not be sent to
	 * @param smallest whether the request's prompt is among the smallest
	 * @return some of them, or all if the request may be sent to none of them
	 */
	List<Replica> chooseReplicas(long now, List<Replica> replicas, Set<ReplicaId> excluded, boolean smallest) {
		List<Replica> open = replicas.stream()
			.filter((replica) -> !excluded.contains(replica.id()))
			.sorted(Comparator
				.comparingDouble((replica) -> KeyHash.toUnitInterval(replica.id().value() + '@' + this.target)))
			.toList();
		if (open.isEmpty()) {
			return replicas;
		}
		if (!smallest) {
			return open.subList(Math.min(1, open.size() - 1), open.size());
		}
		return List.of(open.stream().filter((replica) -> !isFull(now, replica)).findFirst().orElse(open.get(0)));
	}

	private boolean isFull(long now, Replica replica) {
		return now < this.fullUntil.getOrDefault(replica.id(), Long.MIN_VALUE);
	}

	/**
	 * Returns the highest load of a replica of the new release, as a ratio of its slots.
	 */
	double triedLoad() {
		return this.triedLoad;
	}

	/**
	 * Returns the number of answers from replicas under enough load for a trial.
	 */
	int answersUnderLoad() {
		return this.answersUnderLoad;
	}

	/**
	 * The last period in which a replica was under enough load for a trial.
	 *
	 * @param from the first report of that load
	 * @param until the last report of it
	 */
	private record LoadedPeriod(long from, long until) {
	}

}
