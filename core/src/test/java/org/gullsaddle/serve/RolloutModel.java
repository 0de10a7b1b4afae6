package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;

/**
 * Simulates a roll-out on several nodes with a virtual clock. Any node gets any request.
 * Each request has a session of its own, or sessions live on and reach all nodes.
 */
final class RolloutModel {

	private static final RolloutLimits LIMITS = new RolloutLimits(0.135, 27);

	private static final double FAULTY_FAILURE_RATIO = 0.6;

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final String TARGET = "v2";

	private static final long ORDER_REVISION = 10;

	private static final int SLOTS = 16;

	private static final int REPLICAS = 6;

	private static final long STEP_MILLIS = 20;

	/** The Unix millisecond of the order. */
	private static final long ORDERED_AT_UNIX_MILLIS = 1_700_000_000_000L;

	private static final long NEVER = Long.MIN_VALUE / 2;

	/** How long after the order the first replica of the new release starts. */
	private static final long FIRST_START_MILLIS = 300;

	private static final long FIRST_TOKEN_MILLIS = 20;

	/** The time to the first token where times are uneven. */
	private static final double UNEVEN_FIRST_TOKEN_MILLIS = 200;

	/** The standard deviation of the logarithm of those times. */
	private static final double UNEVENNESS = 0.6;

	private static final double SLOW_RATIO = 0.5;

	/** How many times longer a slow answer takes. */
	private static final int SLOWDOWN = 8;

	/** The time between a node's notes, as a ratio of the roll-out's duration. */
	private static final double NOTE_INTERVAL_RATIO = 0.06;

	private static final long UPDATE_MILLIS = 200;

	/** The longest time until the peers read what a node writes. */
	private static final long MAX_PROPAGATION_MILLIS = 1600;

	/** The same in a short roll-out, as a ratio of its duration. */
	private static final double MAX_PROPAGATION_RATIO = 0.07;

	/** The same during the ramp-up, when nodes poll more often. */
	private static final long URGENT_PROPAGATION_MILLIS = 700;

	/** The new evidence that a node reports at once, and the time between such notes. */
	private static final double URGENT_EVIDENCE = 1;

	private static final long URGENT_NOTE_MILLIS = 400;

	/** The requests of each route in a step, on all nodes together. */
	private static final double REQUESTS_PER_STEP = 0.3;

	/** One in so many requests replaces a live session by a new one. */
	private static final int REQUESTS_PER_NEW_SESSION = 8;

	private final Fault fault;

	private final long durationMillis;

	private final long propagationMillis;

	private final long noteMillis;

	private final Random random;

	private final List<Rollout> nodes = new ArrayList<>();

	private final List<Replica> replicas = new ArrayList<>();

	private final Map<ReplicaId, Integer> runningOn = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

	/** The live sessions by route; empty if each request has a session of its own. */
	private final Map<Route, List<Session>> sessions = new HashMap<>();

	private double requestsPerStep = REQUESTS_PER_STEP;

	private RolloutState state;

	private long revision = ORDER_REVISION;

	private int sent;

	private int sentToTarget;

	private int movedBackCount;

	private int tooEarlyCount;

	private int isolatedNode = -1;

	/** Draws the times of answers; empty if all take the same. */
	private Optional<Random> unevenness = Optional.empty();

	/**
	 * The least evidence of each node since its last note, and when it sent that note.
	 */
	private final Map<Integer, Double> minReportedEvidence = new HashMap<>();

	private final Map<Integer, Long> reportedAt = new HashMap<>();

	RolloutModel(Fault badness, long duration, int nodes, int seed) {
		this.fault = badness;
		this.durationMillis = duration;
		this.noteMillis = Math.round(NOTE_INTERVAL_RATIO * duration / STEP_MILLIS) * STEP_MILLIS;
		this.propagationMillis = Math.min(MAX_PROPAGATION_MILLIS, Math.round(MAX_PROPAGATION_RATIO * duration));
		this.random = new Random(seed);
		for (int i = 0; i < nodes; i++) {
			this.nodes.add(createNode(-this.propagationMillis, 0));
		}
		for (int i = 0; i < REPLICAS; i++) {
			this.replicas.add(replica("old-" + i, "v1"));
			this.replicas.add(replica("new-" + i, TARGET));
		}
	}

	/**
	 * Creates a node that learns of the order.
	 * @param asked when it polled last, {@link #NEVER} if it has just started
	 */
	private Rollout createNode(long asked, long now) {
		Rollout node = new Rollout(asked, now, new RolloutOrder(SERVICE, TARGET, this.durationMillis), ORDER_REVISION,
				LIMITS);
		long listedAt = Math.max(now, FIRST_START_MILLIS);
		this.events.add(new Event(listedAt, () -> this.replicas
			.forEach((replica) -> node.onReplicaListed(listedAt, ORDERED_AT_UNIX_MILLIS + listedAt, replica))));
		return node;
	}

	private static Replica replica(String id, String release) {
		long startedAt = ORDERED_AT_UNIX_MILLIS
				+ (release.equals(TARGET) ? FIRST_START_MILLIS : -MAX_PROPAGATION_MILLIS);
		return new Replica(new ReplicaId(id), SERVICE, new Address("10.0.0.1", 80), "a", release, SLOTS, false,
				startedAt);
	}

	/**
	 * Cuts a node off from its peers.
	 */
	RolloutModel isolatedNode(int node) {
		this.isolatedNode = node;
		return this;
	}

	/**
	 * Makes sessions live on.
	 * @param live how many at a time on each route
	 * @param shared whether each of them uses both routes
	 */
	RolloutModel withSessions(int live, boolean shared) {
		List<Session> all = createSessions(live);
		this.sessions.put(Route.SHORT, all);
		this.sessions.put(Route.LONG, shared ? all : createSessions(live));
		return this;
	}

	private List<Session> createSessions(int count) {
		List<Session> live = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			live.add(session());
		}
		return live;
	}

	private Session session() {
		return new Session("session-" + this.random.nextInt());
	}

	/**
	 * Makes the first tokens take uneven times, as behind prompts of different size, with
	 * both releases alike.
	 */
	RolloutModel withUnevenTimes() {
		this.unevenness = Optional.of(new Random(this.random.nextInt()));
		return this;
	}

	/**
	 * Makes each node learn of the order at its next poll.
	 */
	RolloutModel learnOrderAtDifferentTimes() {
		for (int i = 0; i < this.nodes.size(); i++) {
			long learnedAt = this.random.nextLong(this.propagationMillis);
			this.nodes.set(i, createNode(learnedAt - this.propagationMillis, learnedAt));
		}
		return this;
	}

	/**
	 * Restarts a node.
	 * @param part when, as a ratio of the roll-out's duration
	 */
	RolloutModel restart(int node, double part) {
		long at = Math.round(part * this.durationMillis);
		this.events.add(new Event(at, () -> {
			Rollout fresh = createNode(NEVER, at);
			fresh.onStateRead(this.state, TARGET, this.revision);
			for (int i = 0; i < this.nodes.size(); i++) {
				if (i != node) {
					fresh.onNote(at, this.nodes.get(i).note(at - this.random.nextLong(this.noteMillis), "node-" + i));
				}
			}
			this.nodes.set(node, fresh);
		}));
		return this;
	}

	/**
	 * Adds a burst of requests.
	 * @param times the factor on the request rate
	 * @param from its start, as a ratio of the roll-out's duration
	 * @param to its end, as a ratio of the roll-out's duration
	 */
	RolloutModel burst(double times, double from, double to) {
		this.events.add(new Event(Math.round(from * this.durationMillis),
				() -> this.requestsPerStep = times * REQUESTS_PER_STEP));
		this.events
			.add(new Event(Math.round(to * this.durationMillis), () -> this.requestsPerStep = REQUESTS_PER_STEP));
		return this;
	}

	void run() {
		for (long now = 0; now <= this.durationMillis; now += STEP_MILLIS) {
			while (!this.events.isEmpty() && this.events.peek().at <= now) {
				this.events.poll().action.run();
			}
			for (Route route : Route.values()) {
				for (double due = this.requestsPerStep; due > 0; due--) {
					if (this.random.nextDouble() < due) {
						send(now, route);
					}
				}
			}
			for (int i = 0; i < this.nodes.size(); i++) {
				updateNode(now, i);
			}
		}
	}

	private Session sessionFor(Route route) {
		List<Session> live = this.sessions.get(route);
		if (live == null) {
			return session();
		}
		int index = this.random.nextInt(live.size());
		if (this.random.nextInt(REQUESTS_PER_NEW_SESSION) == 0) {
			live.set(index, session());
		}
		return live.get(index);
	}

	private void send(long now, Route route) {
		Rollout node = this.nodes.get(this.random.nextInt(this.nodes.size()));
		Session session = sessionFor(route);
		ReleaseKey key = new ReleaseKey(session.id, true, route.name(), route.tokens);
		node.recordRequest(key);
		Replica replica = node.chooseReplicas(now, this.replicas, key, Set.of(), this.nodes.size())
			.stream()
			.min(Comparator.comparingInt(this::runningOn))
			.orElseThrow();
		boolean toTarget = replica.release().equals(TARGET);
		trackSession(now, session, toTarget);
		this.sent++;
		this.sentToTarget += toTarget ? 1 : 0;
		node.recordSent(replica);
		boolean fails = toTarget && isFaulty(now, route, replica) && this.random.nextDouble() < FAULTY_FAILURE_RATIO;
		int times = (toTarget && this.fault == Fault.SLOW && this.random.nextDouble() < SLOW_RATIO) ? SLOWDOWN : 1;
		long firstMillis = times * firstTokenMillis();
		this.runningOn.merge(replica.id(), 1, Integer::sum);
		this.events.add(new Event(now + firstMillis, () -> {
			node.onLoadReported(now + firstMillis, replica, new LoadReport(runningOn(replica), 0, SLOTS), now);
			node.onAnswerStarted(replica, new AnswerKind(route.name(), ""), fails, now, firstMillis, expectedMillis());
		}));
		this.events.add(new Event(now + (fails ? firstMillis : times * route.millis),
				() -> this.runningOn.merge(replica.id(), -1, Integer::sum)));
	}

	private long firstTokenMillis() {
		return this.unevenness
			.map((times) -> Math.round(UNEVEN_FIRST_TOKEN_MILLIS * Math.exp(UNEVENNESS * times.nextGaussian())))
			.orElse(FIRST_TOKEN_MILLIS);
	}

	private OptionalDouble expectedMillis() {
		return OptionalDouble.of(this.unevenness.isPresent() ? UNEVEN_FIRST_TOKEN_MILLIS : FIRST_TOKEN_MILLIS);
	}

	private void trackSession(long now, Session session, boolean toTarget) {
		boolean good = this.fault == Fault.NONE && this.state != RolloutState.ROLLED_BACK;
		this.movedBackCount += (session.onTarget && !toTarget && good) ? 1 : 0;
		this.tooEarlyCount += (toTarget && 2 * now < this.durationMillis) ? 1 : 0;
		session.onTarget = toTarget;
	}

	private int runningOn(Replica replica) {
		return this.runningOn.getOrDefault(replica.id(), 0);
	}

	private boolean isFaulty(long now, Route route, Replica replica) {
		return switch (this.fault) {
			case NONE, SLOW -> false;
			case START -> true;
			case UNDER_LOAD -> runningOn(replica) >= SLOTS / 2;
			case ONE_ROUTE -> route == Route.LONG;
			case LATE -> now > 0.55 * this.durationMillis;
		};
	}

	private void updateNode(long now, int index) {
		Rollout node = this.nodes.get(index);
		if (now % UPDATE_MILLIS == STEP_MILLIS * (index % (UPDATE_MILLIS / STEP_MILLIS))) {
			node.update(now, (index == this.isolatedNode) ? now : this.propagationMillis);
			node.findDueState(now).ifPresent((due) -> writeState(now, due));
		}
		boolean due = now % this.noteMillis == STEP_MILLIS * (index % (this.noteMillis / STEP_MILLIS));
		if (index != this.isolatedNode && (due || isNoteUrgent(now, index))) {
			RolloutNote note = node.note(now, "node-" + index);
			this.minReportedEvidence.put(index, note.urgentEvidence());
			this.reportedAt.put(index, now);
			long at = now + propagationMillis();
			this.events.add(new Event(at, () -> deliverNote(at, index, note)));
		}
	}

	private boolean isNoteUrgent(long now, int index) {
		double evidence = this.nodes.get(index).note(now, "node-" + index).urgentEvidence();
		double least = this.minReportedEvidence.merge(index, evidence, Math::min);
		return evidence - least >= URGENT_EVIDENCE
				&& now - this.reportedAt.getOrDefault(index, 0L) >= URGENT_NOTE_MILLIS;
	}

	/**
	 * Returns how long a note takes to reach the peers now.
	 */
	private long propagationMillis() {
		boolean grows = this.nodes.stream().anyMatch(Rollout::isRampingUp);
		return grows ? Math.min(URGENT_PROPAGATION_MILLIS, this.propagationMillis) : this.propagationMillis;
	}

	private void deliverNote(long now, int from, RolloutNote note) {
		for (int i = 0; i < this.nodes.size(); i++) {
			if (i != from && i != this.isolatedNode) {
				this.nodes.get(i).onNote(now, note);
			}
		}
	}

	private void writeState(long now, RolloutState due) {
		boolean over = this.state == RolloutState.COMPLETED || this.state == RolloutState.ROLLED_BACK;
		if (over || due == this.state) {
			return;
		}
		this.state = due;
		this.revision++;
		long written = this.revision;
		this.events.add(new Event(now + propagationMillis(), () -> {
			for (int i = 0; i < this.nodes.size(); i++) {
				if (i != this.isolatedNode || due == RolloutState.RUNNING) {
					this.nodes.get(i).onStateRead(due, TARGET, written);
				}
			}
		}));
	}

	RolloutState state() {
		return this.state;
	}

	int sent() {
		return this.sent;
	}

	int sentToTarget() {
		return this.sentToTarget;
	}

	/**
	 * Returns how many requests ran on the old release after one of their session had run
	 * on the new one, although that is good and was not rolled back.
	 */
	int movedBackCount() {
		return this.movedBackCount;
	}

	/**
	 * Returns how many requests of sessions ran on the new release in the first half.
	 */
	int tooEarlyCount() {
		return this.tooEarlyCount;
	}

	enum Fault {

		NONE, START, UNDER_LOAD, ONE_ROUTE, LATE, SLOW

	}

	private enum Route {

		SHORT(1000, 900), LONG(9000, 400);

		private final long tokens;

		private final long millis;

		Route(long tokens, long millis) {
			this.tokens = tokens;
			this.millis = millis;
		}

	}

	private static final class Session {

		private final String id;

		private boolean onTarget;

		Session(String id) {
			this.id = id;
		}

	}

	private record Event(long at, Runnable action) {
	}

}
