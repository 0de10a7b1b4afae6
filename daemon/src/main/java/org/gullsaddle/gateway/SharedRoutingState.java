package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.fleet.ConfiguredNames;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;
import org.gullsaddle.serve.DeadlineCheck;
import org.gullsaddle.serve.ModelSelector;
import org.gullsaddle.serve.NodeLocation;
import org.gullsaddle.serve.QueueBounds;
import org.gullsaddle.serve.ReplicaEligibility;
import org.gullsaddle.serve.ReplicaSelector;
import org.gullsaddle.serve.SilentReplicaPolicy;
import org.gullsaddle.serve.TeamBurstDetector;
import org.gullsaddle.serve.WorkShares;

/**
 * State shared by the routing decisions of all requests of a gateway. Confined to the
 * event loop.
 */
final class SharedRoutingState {

	/** Shortest retry delay for a refused caller, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 250;

	/**
	 * Retry delay if all replicas are cold, in milliseconds: each node may use them again
	 * every second.
	 */
	private static final long COLD_RETRY_AFTER_MILLIS = 700;

	/**
	 * Retry delay if the data centers are being evacuated, in milliseconds: that takes
	 * some seconds, and most callers retry only once.
	 */
	private static final long EVACUATION_RETRY_AFTER_MILLIS = 2000;

	/** Silence after which a replica counts as lost, relative to the objective. */
	private static final double SILENCE_OBJECTIVE_RATIO = 0.6;

	/**
	 * Shortest silence that may count as a loss, in milliseconds: busy engines pause for
	 * less.
	 */
	private static final long MIN_SILENCE_MILLIS = 800;

	private static final int MAX_URGENCY = 9;

	private static final int URGENCIES_PER_RANK = 2;

	private final ReplicaSelector replicaSelector;

	private final ModelSelector models;

	private FleetConfig boundsConfig;

	private QueueBounds bounds;

	private final TeamBurstDetector teamBurstDetector = new TeamBurstDetector();

	private final SilentReplicaPolicy silentReplicaPolicy = new SilentReplicaPolicy();

	/**
	 * Teams' shares by engine work, used under pressure instead of shares by requests.
	 */
	private final Optional<WorkShares> workShares;

	private final DeadlineCheck deadlineCheck = new DeadlineCheck();

	private final RandomGenerator random = RandomGenerator.getDefault();

	SharedRoutingState(NodeLocation here, boolean pressure) {
		this.workShares = pressure ? Optional.of(new WorkShares()) : Optional.empty();
		this.replicaSelector = new ReplicaSelector(here);
		this.models = pressure ? ModelSelector.withQueueBounds() : new ModelSelector();
		if (pressure) {
			this.replicaSelector.separateModelSizes();
		}
	}

	/**
	 * Returns the bounds of larger models' queues under a configuration.
	 */
	QueueBounds bounds(FleetConfig config) {
		if (config != this.boundsConfig) {
			this.boundsConfig = config;
			this.bounds = QueueBounds.of(config.routes());
		}
		return this.bounds;
	}

	ReplicaSelector replicaSelector() {
		return this.replicaSelector;
	}

	/**
	 * Records what the head of a replica's answer reports.
	 */
	void onAnswerHead(long now, Replica replica, ReplicaAnswer answer) {
		answer.load().ifPresent((load) -> this.replicaSelector.onLoadReport(now, replica, load));
		answer.slowdownPercent().ifPresent((percent) -> this.replicaSelector.onSlowdownReport(now, replica, percent));
		this.replicaSelector.onBytes(now, replica);
	}

	SilentReplicaPolicy silentReplicaPolicy() {
		return this.silentReplicaPolicy;
	}

	/**
	 * Returns the retry delay for a refused caller, in milliseconds, with jitter so that
	 * callers refused together do not return together.
	 */
	long retryAfterMillis() {
		return MIN_RETRY_AFTER_MILLIS + this.random.nextLong(MIN_RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns the retry delay for a caller that may be served after some time, in
	 * milliseconds, with jitter.
	 */
	long retryAfterMillis(long minMillis) {
		return Math.max(MIN_RETRY_AFTER_MILLIS, minMillis) + this.random.nextLong(MIN_RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns the retry delay for a caller for whom there is no replica, in milliseconds:
	 * the time until there may be one again, with jitter.
	 */
	long retryAfterMillis(ReplicaEligibility.NoReplica why) {
		long minMillis = switch (why) {
			case NONE, TRIED, LIMITED, RESTING, CRASHES -> MIN_RETRY_AFTER_MILLIS;
			case COLD -> COLD_RETRY_AFTER_MILLIS;
			case EVACUATED, OTHER_REGION -> EVACUATION_RETRY_AFTER_MILLIS;
		};
		return minMillis + this.random.nextLong(minMillis);
	}

	/**
	 * Records a generation of a team.
	 * @return whether the team sent more than its share
	 */
	boolean recordRequest(TeamId team, long now) {
		this.teamBurstDetector.recordRequest(team, now);
		return this.teamBurstDetector.isBursting(team, now);
	}

	/**
	 * Returns teams' shares by engine work, empty if shares are by requests.
	 */
	Optional<WorkShares> workShares() {
		return this.workShares;
	}

	DeadlineCheck deadlineCheck() {
		return this.deadlineCheck;
	}

	/**
	 * Returns a generation's urgency, 0 is served first. It follows the rank; within a
	 * rank, requests beyond a team's share come last.
	 */
	static int urgency(int rank, boolean overShare) {
		return Math.clamp(URGENCIES_PER_RANK * rank + (overShare ? 1 : 0), 0, MAX_URGENCY);
	}

	ModelSelector models() {
		return this.models;
	}

	/**
	 * Records the timing of a stream that has ended.
	 */
	void recordStream(Route route, String model, StreamTiming timing) {
		this.models.recordAnswer(route, model, timing.firstEventMillis(MonotonicClock.millis()),
				timing.longestGapMillis());
	}

	/**
	 * Drops what is kept by names that are no longer configured.
	 */
	void retain(ConfiguredNames names) {
		this.replicaSelector.retainModels(names.models());
		this.models.retain(names.models());
		this.teamBurstDetector.retain(names.teams());
		this.deadlineCheck.retain(names.services());
	}

	/**
	 * Picks one of a route's services by weight, always the same one for the same request
	 * id.
	 */
	ServiceName service(Route route, String id) {
		double total = route.shares().stream().mapToDouble(ServiceShare::weight).sum();
		double point = KeyHash.toUnitInterval(id) * total;
		for (ServiceShare share : route.shares()) {
			point -= share.weight();
			if (point < 0) {
				return share.service();
			}
		}
		return route.shares().get(0).service();
	}

	/**
	 * Returns how long a replica may be silent, in milliseconds.
	 * @param begun whether a part of the answer was sent to the caller
	 */
	long silenceMillis(Route route, boolean begun) {
		if (begun) {
			return Math.max(MIN_SILENCE_MILLIS, route.gapMillis());
		}
		if (route.kind() == RouteKind.STREAM) {
			return Math.max(MIN_SILENCE_MILLIS, Math.round(SILENCE_OBJECTIVE_RATIO * route.targetMillis()));
		}
		return Math.round(SILENCE_OBJECTIVE_RATIO * route.targetMillis());
	}

}
