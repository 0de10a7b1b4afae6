package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ReplicaId;

/**
 * Decides what a request does whose replica sends nothing: an engine with a long queue is
 * as silent as one that went dark, but it answers a question for its load. Confined to
 * one thread.
 * <p>
 * Moved for the silence of a queue, a request loses its place there and is run anew
 * elsewhere, behind others that were moved as well: the queues stay as long, and much of
 * the work is done twice.
 */
public final class SilentReplicaPolicy {

	/**
	 * How often one replica is asked at most, in milliseconds; questions are paid for.
	 */
	private static final long MIN_QUERY_INTERVAL_MILLIS = 1000;

	/**
	 * How long before the end of a request's patience its replica is asked, in
	 * milliseconds, so that one that went dark is left no later than without a question.
	 */
	public static final long LOAD_QUERY_MILLIS = 150;

	/**
	 * What part of the wait here another replica may take to be clearly sooner: a request
	 * that waits is half through its queue on the mean.
	 */
	private static final double CLEARLY_SOONER_RATIO = 0.5;

	private final Map<ReplicaId, LoadQuery> queries = new HashMap<>();

	/**
	 * Decides what a request does.
	 * @param now the time in milliseconds
	 * @param replica the replica that has it
	 * @param silentSince since when nothing came from there, in milliseconds
	 * @param patienceMillis how long that may last, in milliseconds
	 * @return what it does
	 */
	public Action decideAction(long now, ReplicaId replica, long silentSince, long patienceMillis) {
		long patienceEnds = silentSince + patienceMillis;
		if (now < patienceEnds - LOAD_QUERY_MILLIS) {
			return Action.WAIT;
		}
		return switch (this.queries.get(replica)) {
			case null -> Action.QUERY_LOAD;
			case LoadQuery.Pending open -> Action.WAIT;
			case LoadQuery.Queued queues -> decideWithQueue(now, queues.reportedAt(), patienceEnds, patienceMillis);
			case LoadQuery.Unqueued noQueue -> decideWithoutQueue(now, noQueue.endedAt(), silentSince, patienceEnds);
		};
	}

	/**
	 * What it told counts as heard: it is asked again a whole patience later.
	 */
	private static Action decideWithQueue(long now, long toldAt, long patienceEnds, long patienceMillis) {
		if (now >= toldAt + Math.max(MIN_QUERY_INTERVAL_MILLIS, patienceMillis - LOAD_QUERY_MILLIS)) {
			return Action.QUERY_LOAD;
		}
		return (now > patienceEnds) ? Action.STAY : Action.WAIT;
	}

	private static Action decideWithoutQueue(long now, long at, long silentSince, long patienceEnds) {
		if (now >= at + MIN_QUERY_INTERVAL_MILLIS) {
			return Action.QUERY_LOAD;
		}
		return (now > patienceEnds && at > silentSince) ? Action.LEAVE : Action.WAIT;
	}

	/**
	 * Notes that a replica is asked for its load.
	 * @param replica the replica
	 */
	public void onLoadQuery(ReplicaId replica) {
		this.queries.put(replica, new LoadQuery.Pending());
	}

	/**
	 * Notes what it told.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report its load
	 */
	public void onLoadReport(long now, ReplicaId replica, EngineReport report) {
		// Without prompts to be read, no request waits for its turn there.
		this.queries.put(replica,
				(report.unreadRequests() > 0) ? new LoadQuery.Queued(now) : new LoadQuery.Unqueued(now));
	}

	/**
	 * Notes that it told nothing in time.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onNoLoadReport(long now, ReplicaId replica) {
		this.queries.put(replica, new LoadQuery.Unqueued(now));
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.queries.keySet().retainAll(known);
	}

	/**
	 * Says whether an answer would begin clearly sooner at another replica. A move costs
	 * the place in the queue, and both delays are guesses.
	 * @param here when it would begin here if the request came now
	 * @param there when it would begin at the other replica
	 * @return true if the request is better moved
	 */
	public static boolean isClearlySooner(DelayEstimate here, DelayEstimate there) {
		return there.expectedMillis() + there.deviationMillis() < CLEARLY_SOONER_RATIO * here.expectedMillis();
	}

	/**
	 * What a request does.
	 */
	public enum Action {

		/** It waits: its patience is not over, or an answer is expected. */
		WAIT,

		/** Its replica is asked for its load. */
		QUERY_LOAD,

		/** It waits its turn, unless another replica would begin clearly sooner. */
		STAY,

		/** It leaves. */
		LEAVE

	}

	/**
	 * The last question to a replica.
	 */
	private sealed interface LoadQuery {

		/**
		 * It was not answered yet.
		 */
		record Pending() implements LoadQuery {
		}

		/**
		 * The replica told of requests that wait their turn.
		 */
		record Queued(long reportedAt) implements LoadQuery {
		}

		/**
		 * It told of none, or nothing at all.
		 */
		record Unqueued(long endedAt) implements LoadQuery {
		}

	}

}
