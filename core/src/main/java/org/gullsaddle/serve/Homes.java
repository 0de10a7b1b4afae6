package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Which replicas small and large models are at home on: as many for each as the work that
 * is asked of them. Confined to one thread.
 * <p>
 * A batch steps at the pace of its slowest model, so that sizes are kept apart. Under
 * load fewer answers are replaced by a larger model's, and the work moves to the small
 * ones; with homes fixed at a quarter they queued there for seconds beside idle replicas.
 * <p>
 * Where room is short, homes are kept apart: a fixed part of the replicas is for the
 * small models, and no model goes elsewhere. Nodes that learn their homes disagree on
 * some of them, and an engine that runs both sizes reads for neither at its own speed.
 */
final class Homes {

	/** The small models' part of the work before any is known. */
	private static final double FIRST_SMALL = 0.17;

	/**
	 * How much more room than their part of the work the small models get. All requests
	 * begin with them, so that a queue there makes all late.
	 */
	private static final double ROOM = 1.5;

	/**
	 * How much work stands for that first belief, in tokens of the smallest model: some
	 * seconds of a node's.
	 */
	private static final double FIRST_WORK = 500_000;

	/**
	 * The part of the replicas that is for small models where sizes are kept apart. All
	 * requests begin there, so that a burst must find room.
	 */
	private static final double APART_SMALL = 0.35;

	/** The time until half of the work done is forgotten, in milliseconds. */
	private static final double HALF_MILLIS = 5000;

	private final Place place;

	private double small = FIRST_SMALL * FIRST_WORK;

	private double large = (1 - FIRST_SMALL) * FIRST_WORK;

	private long at;

	private boolean apart;

	Homes(Place place) {
		this.place = place;
	}

	/**
	 * Keeps the sizes apart from now on.
	 */
	void keepApart() {
		this.apart = true;
	}

	boolean keptApart() {
		return this.apart;
	}

	/**
	 * Notes work that a replica was given.
	 * @param now the time in milliseconds
	 * @param task the task
	 * @param unreadTokens how much of its prompt must be read
	 */
	void sent(long now, Task task, int unreadTokens) {
		if (task.scale() == ModelScale.ALIKE) {
			return;
		}
		forget(now);
		if (task.scale() == ModelScale.LARGE) {
			this.large += unreadTokens * task.pace();
		}
		else {
			this.small += unreadTokens * task.pace();
		}
	}

	/**
	 * Returns the replicas that models of another size than a task's are at home on. All
	 * nodes that see the same replicas and alike work come to the same.
	 */
	Set<ReplicaId> away(List<Replica> usable, Task task) {
		if (task.scale() == ModelScale.ALIKE) {
			return Set.of();
		}
		Map<String, List<Replica>> byRegion = usable.stream()
			.collect(Collectors.groupingBy((replica) -> this.place.region(replica.dataCenter())));
		Set<ReplicaId> away = new HashSet<>();
		for (List<Replica> near : byRegion.values()) {
			List<Replica> ordered = new ArrayList<>(near);
			ordered.sort(Comparator.comparingDouble((replica) -> KeyHash.toUnitInterval(replica.id().value())));
			long homes = smallHomes(near.size());
			for (int i = 0; i < ordered.size() && homes > 0; i++) {
				if ((i < homes) == (task.scale() == ModelScale.LARGE)) {
					away.add(ordered.get(i).id());
				}
			}
		}
		return away;
	}

	private long smallHomes(int replicas) {
		if (replicas < 2) {
			return 0;
		}
		if (this.apart) {
			return Math.clamp((long) Math.ceil(APART_SMALL * replicas), 1, replicas - 1);
		}
		double share = ROOM * this.small / (this.small + this.large);
		return Math.clamp(Math.round(share * replicas), 1, replicas - 1);
	}

	private void forget(long now) {
		double kept = Math.pow(0.5, Math.max(0, now - this.at) / HALF_MILLIS);
		this.small = kept * this.small + (1 - kept) * FIRST_SMALL * FIRST_WORK;
		this.large = kept * this.large + (1 - kept) * (1 - FIRST_SMALL) * FIRST_WORK;
		this.at = Math.max(this.at, now);
	}

}
