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
 * Partitions the replicas of each region between small and large models, in proportion to
 * their work. Confined to one thread.
 * <p>
 * A batch steps as slowly as its slowest model, so model sizes are separated. Under load
 * fewer answers are replaced by a larger model's, and the work shifts to small models;
 * with a fixed quarter of the replicas, they queued for seconds beside idle ones.
 * <p>
 * If capacity is short, separation is strict: a fixed share of the replicas is for small
 * models, and no model spills over to replicas of the other size. Nodes that learn their
 * partitions disagree about some replicas, and an engine that runs both sizes reads at
 * full speed for neither.
 */
final class ModelSizePartition {

	/** The small models' share of the work before any is recorded. */
	private static final double PRIOR_SMALL_RATIO = 0.17;

	/**
	 * How much more capacity than their share of the work small models get. All requests
	 * begin with them, so a queue there delays everything.
	 */
	private static final double SMALL_CAPACITY_FACTOR = 1.5;

	/**
	 * The weight of the prior, in tokens of the smallest model: some seconds of a node's
	 * work.
	 */
	private static final double PRIOR_WORK_TOKENS = 500_000;

	/**
	 * The share of replicas for small models under strict separation. All requests begin
	 * there, so there must be capacity for bursts.
	 */
	private static final double STRICT_SMALL_RATIO = 0.35;

	/** The time until half of the recorded work is forgotten. */
	private static final double HALF_LIFE_MILLIS = 5000;

	private final NodeLocation location;

	private double smallWork = PRIOR_SMALL_RATIO * PRIOR_WORK_TOKENS;

	private double largeWork = (1 - PRIOR_SMALL_RATIO) * PRIOR_WORK_TOKENS;

	private long decayedAt;

	private boolean strict;

	ModelSizePartition(NodeLocation location) {
		this.location = location;
	}

	/**
	 * Separates the sizes strictly from now on.
	 */
	void separateStrictly() {
		this.strict = true;
	}

	boolean isStrict() {
		return this.strict;
	}

	/**
	 * Records work that was given to a replica.
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
	 * Returns the replicas dedicated to models of another size than the task's. Nodes
	 * that see the same replicas and similar work compute the same partition.
	 */
	Set<ReplicaId> nonDedicatedReplicas(List<Replica> eligible, ReplicaTask task) {
		if (task.sizeClass() == ModelSizeClass.SIMILAR) {
			return Set.of();
		}
		Map<String, List<Replica>> byRegion = eligible.stream()
			.collect(Collectors.groupingBy((replica) -> this.location.regionOf(replica.dataCenter())));
		Set<ReplicaId> nonDedicated = new HashSet<>();
		for (List<Replica> inRegion : byRegion.values()) {
			List<Replica> ordered = new ArrayList<>(inRegion);
			ordered.sort(Comparator.comparingDouble((replica) -> KeyHash.toUnitInterval(replica.id().value())));
			long smallCount = smallReplicaCount(inRegion.size());
			for (int i = 0; i < ordered.size() && smallCount > 0; i++) {
				if ((i < smallCount) == (task.sizeClass() == ModelSizeClass.LARGE)) {
					nonDedicated.add(ordered.get(i).id());
				}
			}
		}
		return nonDedicated;
	}

	private long smallReplicaCount(int replicas) {
		if (replicas < 2) {
			return 0;
		}
		if (this.strict) {
			return Math.clamp((long) Math.ceil(STRICT_SMALL_RATIO * replicas), 1, replicas - 1);
		}
		double smallShare = SMALL_CAPACITY_FACTOR * this.smallWork / (this.smallWork + this.largeWork);
		return Math.clamp(Math.round(smallShare * replicas), 1, replicas - 1);
	}

	private void decay(long now) {
		double remaining = Math.pow(0.5, Math.max(0, now - this.decayedAt) / HALF_LIFE_MILLIS);
		this.smallWork = remaining * this.smallWork + (1 - remaining) * PRIOR_SMALL_RATIO * PRIOR_WORK_TOKENS;
		this.largeWork = remaining * this.largeWork + (1 - remaining) * (1 - PRIOR_SMALL_RATIO) * PRIOR_WORK_TOKENS;
		this.decayedAt = Math.max(this.decayedAt, now);
	}

}
