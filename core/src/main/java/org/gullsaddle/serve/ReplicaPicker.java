package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.Spread;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Picks the replica that a request goes to: the one with the least expected delay, where
 * distance and what must be read of the prompt count as delay too. Confined to one
 * thread.
 */
public final class ReplicaPicker {

	/**
	 * How many prompt tokens an engine reads in a millisecond with the smallest model:
	 * the operators' sheet gives 37.9 for one that takes three times as long.
	 */
	private static final double PREFILL_TOKENS_PER_MILLI = 120;

	/**
	 * How much longer than expected a replica may take to read before it counts as dark.
	 */
	private static final double READ_MARGIN = 2;

	/**
	 * How much one more running request delays an engine's first token, in milliseconds:
	 * its share of some twenty steps of a batch.
	 */
	private static final double ENGINE_REQUEST_MILLIS = 3;

	/** How long a plain service works on a request, in milliseconds. */
	private static final double SERVICE_REQUEST_MILLIS = 60;

	/** What a replica in another data center of the region costs, in milliseconds. */
	private static final double OTHER_DATA_CENTER_MILLIS = 60;

	/**
	 * What a replica in another region costs, in milliseconds: the round trips, and the
	 * price of bytes on the link, which is some thirty times that of the time.
	 */
	private static final double OTHER_REGION_MILLIS = 400;

	/**
	 * What spoils the choice of a replica that nobody else would take for the same parts,
	 * in milliseconds: nodes that do not tell each other what is kept where meet at the
	 * same replica.
	 */
	private static final double NOT_PREFERRED_MILLIS = 60;

	/**
	 * What a replica costs that another size of model is at home on, in milliseconds. A
	 * batch steps at the pace of its slowest model: one request of the largest beside
	 * many of the smallest makes all of them ten times slower. Kept apart, each runs at
	 * its own.
	 */
	private static final double NOT_AT_HOME_MILLIS = 350;

	/**
	 * The same for each request that the replicas have on average, where that is more.
	 * Near the engines' limit every queue looks long enough to leave home for; sizes mix,
	 * all slow down, and the queues grow for good. On a model of eight engines, at the
	 * load where that begins, 91 of 100 first tokens are in time instead of 12.
	 */
	private static final double NOT_AT_HOME_MILLIS_PER_REQUEST = 175;

	/** What a replica that fails all its requests costs, in milliseconds. */
	private static final double FAILING_MILLIS = 3000;

	/** The part of an engine's memory that is left for kept parts. */
	private static final double KEPT_SHARE = 0.5;

	private final Map<ReplicaId, ReplicaState> states = new HashMap<>();

	private final Homes homes = new Homes();

	private final Place here;

	/**
	 * Makes a picker.
	 * @param here where this node is
	 */
	public ReplicaPicker(Place here) {
		this.here = here;
	}

	/**
	 * Picks a replica.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task what it is to do
	 * @return the replica, or empty if none is left
	 */
	public Optional<Choice> pick(long now, List<Replica> usable, Set<ReplicaId> tried, Task task) {
		List<ReplicaState> able = usable.stream()
			.filter((replica) -> !tried.contains(replica.id()))
			.map(this::state)
			.toList();
		List<ReplicaState> sound = able.stream().filter((state) -> !state.ejected(now)).toList();
		ReplicaState best = null;
		double least = Double.MAX_VALUE;
		Set<ReplicaId> away = this.homes.away(usable, task);
		double notAtHome = notAtHome(able);
		for (ReplicaState state : sound.isEmpty() ? able : sound) {
			double cost = cost(state, task) + (away.contains(state.replica().id()) ? notAtHome : 0);
			if (cost < least) {
				least = cost;
				best = state;
			}
		}
		if (best == null) {
			return Optional.empty();
		}
		int unread = unread(best, task);
		return Optional.of(new Choice(best.replica(), unread, Math.round(least),
				Math.round(unread * task.pace() / PREFILL_TOKENS_PER_MILLI), best.requests()));
	}

	/**
	 * Notes that a request was sent.
	 * @param now the time in milliseconds
	 * @param choice where to
	 * @param task what the replica is to do
	 */
	public void sent(long now, Choice choice, Task task) {
		this.homes.sent(now, task, choice.unreadTokens());
		long kept = Math.round(task.cacheTokens() * KEPT_SHARE);
		state(choice.replica()).sent(task, choice.unreadTokens() * task.pace(), kept);
	}

	/**
	 * Notes that the replica has read the prompt, or gave the request up.
	 * @param choice where it was sent
	 * @param task what the replica was to do
	 */
	public void promptRead(Choice choice, Task task) {
		state(choice.replica()).read(choice.unreadTokens() * task.pace());
	}

	/**
	 * Notes that bytes came from a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void heard(long now, Replica replica) {
		state(replica).heard(now);
	}

	/**
	 * Says whether a replica has gone dark: nothing came from it, on any connection, for
	 * longer than it may take over the prompt that it was given.
	 * @param now the time in milliseconds
	 * @param choice where a request was sent
	 * @param since since when that request waits for bytes, in milliseconds
	 * @param reading whether the replica may still be reading the prompt; once its answer
	 * has begun, a long prompt is no excuse for silence
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return true if the request is better tried elsewhere
	 */
	public boolean dark(long now, Choice choice, long since, boolean reading, long patienceMillis) {
		long heard = Math.max(since, state(choice.replica()).heardAt());
		return now - heard > patienceMillis + (reading ? READ_MARGIN * choice.readMillis() : 0);
	}

	/**
	 * Notes how an attempt ended.
	 * @param now the time in milliseconds
	 * @param choice where it was sent
	 * @param end its end
	 */
	public void ended(long now, Choice choice, AttemptEnd end) {
		ReplicaState state = state(choice.replica());
		state.ended();
		switch (end) {
			case AttemptEnd.Answered answered -> {
				if (answered.failure()) {
					state.failed(now);
				}
				else {
					state.succeeded();
				}
			}
			case AttemptEnd.NotRun notRun -> {
				if (notRun.unreachable()) {
					state.unreachable(now);
				}
			}
			case AttemptEnd.Broken broken -> state.failed(now);
			case AttemptEnd.Withdrawn withdrawn -> {
			}
			case AttemptEnd.Dropped dropped -> state.succeeded();
		}
	}

	/**
	 * Takes in what a replica says of its load.
	 * @param replica the replica
	 * @param report the load
	 */
	public void report(Replica replica, LoadReport report) {
		state(replica).report(report);
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.states.keySet().retainAll(known);
	}

	private static double notAtHome(List<ReplicaState> able) {
		double requests = able.stream().mapToDouble(ReplicaState::requests).average().orElse(0);
		return Math.max(NOT_AT_HOME_MILLIS, NOT_AT_HOME_MILLIS_PER_REQUEST * requests);
	}

	private double cost(ReplicaState state, Task task) {
		double cost = distance(state.replica()) + FAILING_MILLIS * state.failureShare();
		if (task.plain()) {
			double queued = Math.max(0, state.requests() - state.replica().slots() + 1);
			return cost + state.requests() + queued * SERVICE_REQUEST_MILLIS / state.replica().slots();
		}
		cost += (state.backlog() + unread(state, task) * task.pace()) / PREFILL_TOKENS_PER_MILLI;
		cost += state.requests() * ENGINE_REQUEST_MILLIS;
		return cost + NOT_PREFERRED_MILLIS * preference(state.replica(), task.prompt());
	}

	private double distance(Replica replica) {
		if (replica.dataCenter().equals(this.here.dataCenter())) {
			return 0;
		}
		return this.here.sameRegion(replica.dataCenter()) ? OTHER_DATA_CENTER_MILLIS : OTHER_REGION_MILLIS;
	}

	/**
	 * Returns a number from 0 to 1 that depends on the shared parts and the replica only.
	 */
	private static double preference(Replica replica, Prompt prompt) {
		String shared = prompt.parts().isEmpty() ? "" : prompt.parts().get(0).id();
		return Spread.unit(shared + '/' + replica.id());
	}

	private static int unread(ReplicaState state, Task task) {
		return Math.max(0, task.prompt().inputTokens() - state.kept(task));
	}

	private ReplicaState state(Replica replica) {
		ReplicaState state = this.states.get(replica.id());
		if (state == null || !state.replica().sameProcess(replica)) {
			state = new ReplicaState(replica);
			this.states.put(replica.id(), state);
		}
		state.describe(replica);
		return state;
	}

}
