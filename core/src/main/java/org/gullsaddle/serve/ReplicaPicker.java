package org.gullsaddle.serve;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Picks the replica that a request goes to: the one where least of its worth is likely
 * lost, see {@link Loss}. Confined to one thread.
 */
public final class ReplicaPicker {

	/**
	 * How much longer than expected a replica may take to read before it counts as
	 * unresponsive.
	 */
	private static final double READ_MARGIN = 2;

	/** The part of an engine's memory that is left for kept parts. */
	private static final double KEPT_SHARE = 0.5;

	/** How many replicas are asked for their load before one gets a request. */
	private static final int MOST_ASKED = 3;

	/**
	 * How old what a replica told may be, in its answers too, for it not to be asked, in
	 * milliseconds: about as long as a queue stays as it is. Each question is paid for,
	 * and a node that sees many answers of each replica knows enough.
	 */
	private static final long FRESH_MILLIS = 1500;

	/** How fast the usual work of a request is learned. */
	private static final double USUAL_SMOOTHING = 0.05;

	private final Map<ReplicaId, ReplicaState> states = new HashMap<>();

	/**
	 * How much each model usually has to read of a prompt, in tokens of the smallest.
	 */
	private final Map<String, Double> usualWork = new HashMap<>();

	private final Homes homes;

	private final DelayEstimator delays = new DelayEstimator();

	private final ReplicaPaces paces = new ReplicaPaces();

	private final Place here;

	private final List<Loss> losses;

	/**
	 * Makes a picker.
	 * @param here where this node is
	 */
	public ReplicaPicker(Place here) {
		this(here, Loss.ALL);
	}

	/**
	 * Makes a picker that weighs some losses only.
	 * @param here where this node is
	 * @param losses the losses
	 */
	public ReplicaPicker(Place here, List<Loss> losses) {
		this.here = here;
		this.homes = new Homes(here);
		this.losses = List.copyOf(losses);
	}

	/**
	 * Keeps models of different size on engines of their own from now on, as room is
	 * short.
	 */
	public void keepSizesApart() {
		this.homes.keepApart();
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
		return choices(now, usable, tried, task).min(Comparator.comparingDouble(Choice::loss));
	}

	/**
	 * Returns the replicas to ask for their load before one is picked for a task: the
	 * best of the region that told nothing lately, if the task is a larger model's. A
	 * replica of another region takes longer to tell than is waited for.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task what it is to do
	 * @return the replicas, none if what is known is enough
	 */
	public List<Replica> toAsk(long now, List<Replica> usable, Set<ReplicaId> tried, Task task) {
		if (task.pace() <= 1 && (task.plain() || !this.homes.keptApart())) {
			return List.of();
		}
		return best(now, usable, tried, task, MOST_ASKED).stream()
			.filter((choice) -> !choice.load().otherRegion())
			.map(Choice::replica)
			.filter((replica) -> !toldWithin(now, replica, FRESH_MILLIS))
			.toList();
	}

	/**
	 * Returns the replicas with the least loss by what is known here.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task what it is to do
	 * @param most how many to return at most
	 * @return the replicas, the best first
	 */
	public List<Choice> best(long now, List<Replica> usable, Set<ReplicaId> tried, Task task, int most) {
		return choices(now, usable, tried, task).sorted(Comparator.comparingDouble(Choice::loss)).limit(most).toList();
	}

	private Stream<Choice> choices(long now, List<Replica> usable, Set<ReplicaId> tried, Task task) {
		List<ReplicaState> able = usable.stream()
			.filter((replica) -> !tried.contains(replica.id()))
			.map(this::state)
			.toList();
		List<ReplicaState> sound = able.stream().filter((state) -> !state.ejected(now)).toList();
		Set<ReplicaId> away = this.homes.away(usable, task);
		Others others = Others.of(now, able, away);
		double meanRequests = able.stream()
			.mapToDouble((state) -> state.requests(now, others.at(state).requests()))
			.average()
			.orElse(0);
		return eligible(able, sound, away).stream()
			.map((state) -> candidate(now, state, task, others, meanRequests))
			.map(this::choice);
	}

	/**
	 * Returns the replicas to choose among: the sound ones, if there are any, and of
	 * these the homes only where sizes are kept apart.
	 */
	private List<ReplicaState> eligible(List<ReplicaState> able, List<ReplicaState> sound, Set<ReplicaId> away) {
		List<ReplicaState> usual = sound.isEmpty() ? able : sound;
		if (!this.homes.keptApart()) {
			return usual;
		}
		List<ReplicaState> home = usual.stream().filter((state) -> !away.contains(state.replica().id())).toList();
		return home.isEmpty() ? usual : home;
	}

	private Candidate candidate(long now, ReplicaState state, Task task, Others others, double meanRequests) {
		Others.Usual usual = others.at(state);
		Replica replica = state.replica();
		Reach reach = this.here.reach(replica.dataCenter());
		double requests = state.requests(now, usual.requests());
		double before = task.plain() ? queued(replica, requests)
				: state.backlog(now, usual.unread(), this.usualWork.getOrDefault(task.model(), 0.0));
		EngineLoad load = new EngineLoad(unread(state, task), before, requests, reach == Reach.FAR);
		DelayModel delays = this.delays.of(replica, task);
		Delay first = delays.first(load);
		Pace pace = this.paces.at(now, state, first.expectedMillis());
		return new Candidate(replica, task, load, first.times(pace.factor()),
				pace.factor() * delays.readMillis(load.unreadTokens()), pace, reach, state.failureShare(),
				others.home(state), meanRequests);
	}

	/**
	 * Returns how many times all slots must become free before one is for a new request.
	 */
	private static double queued(Replica replica, double requests) {
		int slots = Math.max(1, replica.slots());
		return Math.max(0, requests - slots + 1) / slots;
	}

	private Choice choice(Candidate candidate) {
		double loss = 0;
		for (Loss each : this.losses) {
			loss += each.of(candidate);
		}
		return new Choice(candidate.replica(), candidate.load(), candidate.delay(), candidate.readMillis(),
				candidate.pace(), loss);
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
		double work = choice.unreadTokens() * task.pace();
		state(choice.replica()).sent(task, work, kept);
		this.usualWork.merge(task.model(), work, (usual, next) -> usual + USUAL_SMOOTHING * (next - usual));
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
	 * Learns how long a request took to begin its answer. What the answer tells of the
	 * replica is taken in before, as what was known until then counts less by its age.
	 * @param choice where it was sent
	 * @param task what the replica is to do
	 * @param millis the time from sending to the first event, or to the end without one,
	 * in milliseconds
	 * @param begun whether it began
	 */
	public void began(Choice choice, Task task, long millis, boolean begun) {
		double usual = millis / choice.pace().factor();
		if (begun) {
			this.delays.of(choice.replica(), task).seen(choice.load(), usual);
		}
		else {
			this.delays.of(choice.replica(), task).notSeen(choice.load(), usual);
		}
		this.paces.took(state(choice.replica()), choice, millis, begun);
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
	 * Says whether a replica is unresponsive: nothing came from it, on any connection,
	 * for longer than it may take over the prompt that it was given.
	 * @param now the time in milliseconds
	 * @param choice where a request was sent
	 * @param since since when that request waits for bytes, in milliseconds
	 * @param reading whether the replica may still be reading the prompt; once its answer
	 * has begun, a long prompt is no excuse for silence
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return true if the request is better tried elsewhere
	 */
	public boolean unresponsive(long now, Choice choice, long since, boolean reading, long patienceMillis) {
		return now - silentSince(choice, since) > patience(choice, reading, patienceMillis);
	}

	/**
	 * Returns since when nothing came from a replica, on any connection.
	 * @param choice where a request was sent
	 * @param since since when that request waits for bytes, in milliseconds
	 * @return the time in milliseconds
	 */
	public long silentSince(Choice choice, long since) {
		return Math.max(since, state(choice.replica()).heardAt());
	}

	/**
	 * Returns how long a replica may be silent that was given a prompt.
	 * @param choice where a request was sent
	 * @param reading whether the replica may still be reading the prompt
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return the time in milliseconds
	 */
	public long patience(Choice choice, boolean reading, long patienceMillis) {
		return patienceMillis + (reading ? Math.round(READ_MARGIN * choice.readMillis()) : 0);
	}

	/**
	 * Returns when an answer would begin at one replica if the request came there now.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param replica the replica
	 * @param task what it is to do
	 * @return the delay
	 */
	public Delay delayAt(long now, List<Replica> usable, Replica replica, Task task) {
		List<ReplicaState> states = usable.stream().map(this::state).toList();
		Others others = Others.of(now, states, this.homes.away(usable, task));
		return candidate(now, state(replica), task, others, 0).delay();
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
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report the load
	 */
	public void report(long now, Replica replica, LoadReport report) {
		state(replica).report(now, report);
	}

	/**
	 * Takes in what an engine says of itself.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report its load
	 */
	public void report(long now, Replica replica, EngineReport report) {
		state(replica).report(now, report);
	}

	/**
	 * Takes in how long work takes at a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param percent how long work takes there now, 100 as usual
	 */
	public void pace(long now, Replica replica, int percent) {
		this.paces.told(now, state(replica), percent);
	}

	/**
	 * Returns how many replicas told a pace.
	 * @return the number
	 */
	public int countPaces() {
		return (int) this.states.values().stream().filter((state) -> state.pace().told()).count();
	}

	/**
	 * Says whether a replica told its load lately, by itself or in an answer.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if what it told still holds
	 */
	public boolean toldLately(long now, Replica replica) {
		return toldWithin(now, replica, FRESH_MILLIS);
	}

	boolean toldWithin(long now, Replica replica, long millis) {
		return state(replica).others().age(now) <= millis;
	}

	/**
	 * Notes that a replica could not be reached, though no request was sent to it.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void unreachable(long now, Replica replica) {
		state(replica).unreachable(now);
	}

	/**
	 * Notes that a replica is silent for too long, though its request cannot leave it.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void silent(long now, Replica replica) {
		state(replica).failed(now);
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.states.keySet().retainAll(known);
		this.paces.retain(
				this.states.values().stream().map((state) -> state.replica().service()).collect(Collectors.toSet()));
	}

	private static int unread(ReplicaState state, Task task) {
		return Math.max(0, task.prompt().inputTokens() - state.kept(task));
	}

	private ReplicaState state(Replica replica) {
		ReplicaState state = this.states.get(replica.id());
		if (state == null || !state.replica().isSameProcess(replica)) {
			state = new ReplicaState(replica);
			this.states.put(replica.id(), state);
		}
		state.describe(replica);
		return state;
	}

}
