package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.Spread;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;
import org.gullsaddle.serve.FairShare;
import org.gullsaddle.serve.Hopeless;
import org.gullsaddle.serve.ModelChooser;
import org.gullsaddle.serve.Place;
import org.gullsaddle.serve.QueueBounds;
import org.gullsaddle.serve.ReplicaPicker;
import org.gullsaddle.serve.ReplicaRules;
import org.gullsaddle.serve.RetryBudget;
import org.gullsaddle.serve.SilencePatience;
import org.gullsaddle.serve.WorkShares;

/**
 * The state that all requests of a gateway decide by. Confined to the event loop.
 */
final class SharedRoutingState {

	/** When a refused caller is to come back at the earliest, in milliseconds. */
	private static final long MIN_RETRY_AFTER_MILLIS = 250;

	/**
	 * When a caller is to come back for whom all replicas are cold: each node is let to
	 * them again every second, in milliseconds.
	 */
	private static final long COLD_RETRY_AFTER_MILLIS = 700;

	/**
	 * When a caller is to come back whose data centers are being emptied, in
	 * milliseconds: that takes some seconds, and most callers come back only once.
	 */
	private static final long EVACUATION_RETRY_AFTER_MILLIS = 2000;

	/** The part of the objective after which a silent replica is taken as lost. */
	private static final double SILENCE_OBJECTIVE_RATIO = 0.6;

	/**
	 * Silence that is never taken as a loss, in milliseconds: a pause of a busy engine.
	 */
	private static final long MIN_SILENCE_MILLIS = 800;

	private static final int MAX_URGENCY = 9;

	private static final int URGENCIES_PER_RANK = 2;

	private final ReplicaPicker picker;

	private final RetryBudget retryBudget;

	private final ModelChooser models;

	private FleetConfig boundsConfig;

	private QueueBounds bounds;

	private final FairShare requestShares = new FairShare();

	private final SilencePatience patience = new SilencePatience();

	/** The shares of work that count in place of requests, if any do. */
	private final Optional<WorkShares> workShares;

	private final Hopeless hopeless = new Hopeless();

	private final RandomGenerator random = RandomGenerator.getDefault();

	SharedRoutingState(Place here, double retryShare, boolean pressure) {
		this.workShares = pressure ? Optional.of(new WorkShares()) : Optional.empty();
		this.picker = new ReplicaPicker(here);
		this.retryBudget = new RetryBudget(retryShare);
		this.models = pressure ? ModelChooser.bounded() : new ModelChooser();
		if (pressure) {
			this.picker.keepSizesApart();
		}
	}

	/**
	 * Returns how long larger models' queues may be under a configuration.
	 */
	QueueBounds bounds(FleetConfig config) {
		if (config != this.boundsConfig) {
			this.boundsConfig = config;
			this.bounds = QueueBounds.of(config.routes());
		}
		return this.bounds;
	}

	ReplicaPicker picker() {
		return this.picker;
	}

	/**
	 * Takes in what a replica's answer tells of it.
	 */
	void onAnswerHead(long now, Replica replica, ReplicaAnswer answer) {
		answer.load().ifPresent((load) -> this.picker.report(now, replica, load));
		answer.slowdownPercent().ifPresent((percent) -> this.picker.pace(now, replica, percent));
		this.picker.heard(now, replica);
	}

	SilencePatience patience() {
		return this.patience;
	}

	void earnRetry() {
		this.retryBudget.earn();
	}

	boolean spendRetry() {
		return this.retryBudget.spend();
	}

	/**
	 * Returns when a refused caller is to come back, spread out, so that callers refused
	 * together do not return together.
	 */
	long retryAfterMillis() {
		return MIN_RETRY_AFTER_MILLIS + this.random.nextLong(MIN_RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns when a caller is to come back that may be served after some time, spread
	 * out likewise.
	 */
	long retryAfterMillis(long soonest) {
		return Math.max(MIN_RETRY_AFTER_MILLIS, soonest) + this.random.nextLong(MIN_RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns when a caller is to come back for whom there is no replica: when there may
	 * be one again, spread out likewise.
	 */
	long retryAfterMillis(ReplicaRules.NoReplica why) {
		long soonest = switch (why) {
			case NONE, TRIED, LIMITED, RESTING, CRASHES -> MIN_RETRY_AFTER_MILLIS;
			case COLD -> COLD_RETRY_AFTER_MILLIS;
			case EVACUATED, OTHER_REGION -> EVACUATION_RETRY_AFTER_MILLIS;
		};
		return soonest + this.random.nextLong(soonest);
	}

	/**
	 * Counts a generation of a team.
	 * @return whether the team sent more than its share
	 */
	boolean recordRequest(TeamId team, long now) {
		this.requestShares.sent(team, now);
		return this.requestShares.over(team, now);
	}

	/**
	 * Returns the shares of engines' work, empty where requests are counted instead.
	 */
	Optional<WorkShares> workShares() {
		return this.workShares;
	}

	Hopeless hopeless() {
		return this.hopeless;
	}

	/**
	 * Returns a generation's urgency, 0 goes first: by its rank, and within a rank what
	 * its team sends beyond its share goes last.
	 */
	static int urgency(int rank, boolean overShare) {
		return Math.clamp(URGENCIES_PER_RANK * rank + (overShare ? 1 : 0), 0, MAX_URGENCY);
	}

	ModelChooser models() {
		return this.models;
	}

	/**
	 * Learns from a stream that has ended.
	 */
	void streamed(Route route, String model, StreamTiming clock) {
		this.models.answered(route, model, clock.firstEventMillis(MonotonicClock.millis()), clock.longestGapMillis());
	}

	/**
	 * Picks one of a route's services by their weights, the same for the same request.
	 */
	ServiceName service(Route route, String id) {
		double total = route.shares().stream().mapToDouble(ServiceShare::weight).sum();
		double point = Spread.unit(id) * total;
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
	 * @param begun whether the caller has got a part of the answer
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
