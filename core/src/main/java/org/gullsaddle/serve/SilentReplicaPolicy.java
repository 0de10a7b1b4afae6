package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ReplicaId;

/**
 * Decides what to do with a request whose replica sends nothing: an engine with a long
 * queue is as silent as one that has failed, but it answers a load query. Confined to one
 * thread.
 * <p>
 * A request that is moved because of a queue loses its place and starts again elsewhere,
 * behind others that were moved as well: the queues stay as long, and much of the work is
 * done twice.
 */
public final class SilentReplicaPolicy {

	/**
	 * The shortest interval between two queries to one replica, since queries are paid
	 * for.
	 */
	private static final long MIN_QUERY_INTERVAL_MILLIS = 1000;

	/**
	 * How long before the end of a request's patience its replica is queried, so that a
	 * query does not delay the move away from a failed replica.
	 */
	public static final long LOAD_QUERY_MILLIS = 150;

	/**
	 * Another replica is clearly sooner below this share of the wait at the current one:
	 * on average, a waiting request is halfway through its queue.
	 */
	private static final double CLEARLY_SOONER_RATIO = 0.5;

	private final Map<ReplicaId, LoadQuery> queries = new HashMap<>();

	/**
	 * Decides what to do with a request.
	 * @param now the time in milliseconds
	 * @param replica the replica that has it
	 * @param silentSince since when nothing was received from there, in milliseconds
	 * @param patienceMillis how long that may last, in milliseconds
	 * @return the action
	 */
	public Action decideAction(long now, ReplicaId replica, long silentSince, long patienceMillis) {
		long patienceEnds = silentSince + patienceMillis;
		if (now < patienceEnds - LOAD_QUERY_MILLIS) {
			return Action.WAIT;
		}
		return switch (this.queries.get(replica)) {
			case null -> Action.QUERY_LOAD;
			case LoadQuery.Pending pending -> Action.WAIT;
			case LoadQuery.Queued queued -> decideWithQueue(now, queued.reportedAt(), patienceEnds, patienceMillis);
			case LoadQuery.Unqueued unqueued -> decideWithoutQueue(now, unqueued.endedAt(), silentSince, patienceEnds);
		};
	}

	/**
	 * A report counts as received bytes: the replica is queried again after another
	 * patience.
	 */
	private static Action decideWithQueue(long now, long reportedAt, long patienceEnds, long patienceMillis) {
		if (now >= reportedAt + Math.max(MIN_QUERY_INTERVAL_MILLIS, patienceMillis - LOAD_QUERY_MILLIS)) {
			return Action.QUERY_LOAD;
		}
		return (now > patienceEnds) ? Action.STAY : Action.WAIT;
	}

	private static Action decideWithoutQueue(long now, long endedAt, long silentSince, long patienceEnds) {
		if (now >= endedAt + MIN_QUERY_INTERVAL_MILLIS) {
			return Action.QUERY_LOAD;
		}
		return (now > patienceEnds && endedAt > silentSince) ? Action.LEAVE : Action.WAIT;
	}

	/**
	 * Records that a replica's load is being queried.
	 * @param replica the replica
	 */
	public void onLoadQuery(ReplicaId replica) {
		this.queries.put(replica, new LoadQuery.Pending());
	}

	/**
	 * Records the answer to a query.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report its load
	 */
	public void onLoadReport(long now, ReplicaId replica, EngineReport report) {
		// If no prompts are unread, no request waits for its turn there.
		this.queries.put(replica,
				(report.unreadRequests() > 0) ? new LoadQuery.Queued(now) : new LoadQuery.Unqueued(now));
	}

	/**
	 * Records that a query was not answered in time.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onNoLoadReport(long now, ReplicaId replica) {
		this.queries.put(replica, new LoadQuery.Unqueued(now));
	}

	/**
	 * Removes the queries to replicas that are gone.
	 * @param known the replicas to keep
	 */
	public void retain(Set<ReplicaId> known) {
		this.queries.keySet().retainAll(known);
	}

	/**
	 * Returns whether an answer would begin clearly sooner at another replica. A move
	 * gives up the place in the queue, and both delays are estimates.
	 * @param current when it would begin here if the request were sent now
	 * @param other when it would begin at the other replica
	 * @return true if the request should be moved
	 */
	public static boolean isClearlySooner(DelayEstimate current, DelayEstimate other) {
		return other.expectedMillis() + other.deviationMillis() < CLEARLY_SOONER_RATIO * current.expectedMillis();
	}

	/**
	 * What to do with a request.
	 */
	public enum Action {

		/** Wait: its patience is not over, or a query is open. */
		WAIT,

		/** Query the load of its replica. */
		QUERY_LOAD,

		/** Wait in the queue, unless another replica would begin clearly sooner. */
		STAY,

		/** Leave the replica. */
		LEAVE

	}

	/**
	 * The last query to a replica.
	 */
	private sealed interface LoadQuery {

		/**
		 * The query is not answered yet.
		 */
		record Pending() implements LoadQuery {
		}

		/**
		 * The replica reported requests that wait for their turn.
		 */
		record Queued(long reportedAt) implements LoadQuery {
		}

		/**
		 * The replica reported none, or did not answer.
		 */
		record Unqueued(long endedAt) implements LoadQuery {
		}

	}

}
