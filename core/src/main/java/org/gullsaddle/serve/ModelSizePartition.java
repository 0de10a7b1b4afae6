package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.gullsaddle.base.Spread;
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
final class ModelSizePartition {

	/** The small models' part of the work before any is known. */
	private static final double PRIOR_SMALL_RATIO = 0.17;

	/**
	 * How much more room than their part of the work the small models get. All requests
	 * begin with them, so that a queue there makes all late.
	 */
	private static final double SMALL_CAPACITY_FACTOR = 1.5;

	/**
	 * How much work stands for that first belief, in tokens of the smallest model: some
	 * seconds of a node's.
	 */
	private static final double PRIOR_WORK_TOKENS = 500_000;

	/**
	 * The part of the replicas that is for small models where sizes are kept apart. All
	 * requests begin there, so that a burst must find room.
	 */
	private static final double STRICT_SMALL_RATIO = 0.35;

	/** The time until half of the work done is forgotten, in milliseconds. */
	private static final double HALF_LIFE_MILLIS = 5000;

	private final NodeLocation location;

	private double smallWork = PRIOR_SMALL_RATIO * PRIOR_WORK_TOKENS;

	private double largeWork = (1 - PRIOR_SMALL_RATIO) * PRIOR_WORK_TOKENS;

	private long decayedAt;

	private boolean strict;

	ModelSizePartition(NodeLocation place) {
		this.location = place;
	}

	/**
	 * Keeps the sizes apart from now on.
	 */
	void separateStrictly() {
		this.strict = true;
	}

	boolean isStrict() {
		return this.strict;
	}

	/**
	 * Notes work that a replica was given.
	 * @param now the time in milliseconds
	 * @param task the task
	 * @param unreadTokens how much of its prompt must be read
	 */
	void recordWork(long now, ReplicaTask task, int unreadTokens) {
		if (task.sizeClass() == ModelSizeClass.SIMILAR) {
			return;
		}
		decay(now);
		if (task.sizeClass() == ModelSizeClass.LARGE) {
			this.largeWork += unreadTokens * task.slowdown();
		}
		else {
			this.smallWork += unreadTokens * task.slowdown();
		}
	}

	/**
	 * Returns the replicas that models of another size than a task's are at home on. All
	 * nodes that see the same replicas and alike work come to the same.
	 */
	Set<ReplicaId> nonDedicatedReplicas(List<Replica> usable, ReplicaTask task) {
		if (task.sizeClass() == ModelSizeClass.SIMILAR) {
			return Set.of();
		}
		Map<String, List<Replica>> byRegion = usable.stream()
			.collect(Collectors.groupingBy((replica) -> this.location.regionOf(replica.dataCenter())));
		Set<ReplicaId> away = new HashSet<>();
		for (List<Replica> near : byRegion.values()) {
			List<Replica> ordered = new ArrayList<>(near);
			ordered.sort(Comparator.comparingDouble((replica) -> Spread.unit(replica.id().value())));
			long homes = smallReplicaCount(near.size());
			for (int i = 0; i < ordered.size() && homes > 0; i++) {
				if ((i < homes) == (task.sizeClass() == ModelSizeClass.LARGE)) {
					away.add(ordered.get(i).id());
				}
			}
		}
		return away;
	}

	private long smallReplicaCount(int replicas) {
		if (replicas < 2) {
			return 0;
		}
		if (this.strict) {
			return Math.clamp((long) Math.ceil(STRICT_SMALL_RATIO * replicas), 1, replicas - 1);
		}
		double share = SMALL_CAPACITY_FACTOR * this.smallWork / (this.smallWork + this.largeWork);
		return Math.clamp(Math.round(share * replicas), 1, replicas - 1);
	}

	private void decay(long now) {
		double kept = Math.pow(0.5, Math.max(0, now - this.decayedAt) / HALF_LIFE_MILLIS);
		this.smallWork = kept * this.smallWork + (1 - kept) * PRIOR_SMALL_RATIO * PRIOR_WORK_TOKENS;
		this.largeWork = kept * this.largeWork + (1 - kept) * (1 - PRIOR_SMALL_RATIO) * PRIOR_WORK_TOKENS;
		this.decayedAt = Math.max(this.decayedAt, now);
	}

}
