package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * A roll-out at several nodes on a virtual clock. Any node gets any request. Each request
 * has a session of its own, or sessions live on and come to all nodes.
 */
final class RolloutModel {

	private static final RolloutLimits LIMITS = new RolloutLimits(0.135, 27);

	private static final double BAD_RATE = 0.6;

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final String TARGET = "v2";

	private static final long ORDER_REVISION = 10;

	private static final int SLOTS = 16;

	private static final int REPLICAS = 6;

	private static final long STEP = 20;

	/** The Unix millisecond of the order. */
	private static final long CLOCK = 1_700_000_000_000L;

	private static final long NEVER = Long.MIN_VALUE / 2;

	/** How long after the order the first replica of the new release starts. */
	private static final long FIRST_START_MILLIS = 300;

	private static final long FIRST_MILLIS = 20;

	/** How far apart a node's notes are, as a part of the roll-out's time. */
	private static final double NOTE_PART = 0.06;

	private static final long LOOK_MILLIS = 200;

	/** How long what one node writes takes to the others at most. */
	private static final long MAX_NEWS_MILLIS = 1600;

	/** The same as a part of a short roll-out's time. */
	private static final double NEWS_PART = 0.07;

	/** The same while the share rises, as nodes ask oftener for news then. */
	private static final long URGENT_NEWS_MILLIS = 700;

	/** New evidence that a node tells at once, and how far such notes are apart. */
	private static final double URGENT_EVIDENCE = 1;

	private static final long URGENT_NOTE_MILLIS = 400;

	/** Requests of each kind in a step, by all nodes together. */
	private static final double PER_STEP = 0.3;

	/** One request in so many begins another session in place of a live one. */
	private static final int NEW_SESSION = 8;

	private final Badness badness;

	private final long duration;

	private final long newsMillis;

	private final long noteMillis;

	private final Random random;

	private final List<Rollout> nodes = new ArrayList<>();

	private final List<Replica> replicas = new ArrayList<>();

	private final Map<ReplicaId, Integer> running = new HashMap<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

	/** The sessions that live, by route; empty if each request has one of its own. */
	private final Map<Route, List<Session>> sessions = new HashMap<>();

	private double perStep = PER_STEP;

	private RolloutState state;

	private long revision = ORDER_REVISION;

	private int sent;

	private int sentToTarget;

	private int movedBack;

	private int tooEarly;

	private int deaf = -1;

	/** The least evidence that each node has told since, and when it told last. */
	private final Map<Integer, Double> told = new HashMap<>();

	private final Map<Integer, Long> toldAt = new HashMap<>();

	RolloutModel(Badness badness, long duration, int nodes, int seed) {
		this.badness = badness;
		this.duration = duration;
		this.noteMillis = Math.round(NOTE_PART * duration / STEP) * STEP;
		this.newsMillis = Math.min(MAX_NEWS_MILLIS, Math.round(NEWS_PART * duration));
		this.random = new Random(seed);
		for (int i = 0; i < nodes; i++) {
			this.nodes.add(node(-this.newsMillis, 0));
		}
		for (int i = 0; i < REPLICAS; i++) {
			this.replicas.add(replica("old-" + i, "v1"));
			this.replicas.add(replica("new-" + i, TARGET));
		}
	}

	/**
	 * Makes a node that learns of the order.
	 * @param asked when it asked for news before, {@link #NEVER} if it just started
	 */
	private Rollout node(long asked, long now) {
		Rollout node = new Rollout(asked, now, new RolloutOrder(SERVICE, TARGET, this.duration), ORDER_REVISION,
				LIMITS);
		long listedAt = Math.max(now, FIRST_START_MILLIS);
		this.events.add(new Event(listedAt,
				() -> this.replicas.forEach((replica) -> node.onReplicaListed(listedAt, CLOCK + listedAt, replica))));
		return node;
	}

	private static Replica replica(String id, String release) {
		long startedAt = CLOCK + (release.equals(TARGET) ? FIRST_START_MILLIS : -MAX_NEWS_MILLIS);
		return new Replica(new ReplicaId(id), SERVICE, new Address("10.0.0.1", 80), "a", release, SLOTS, false,
				startedAt);
	}

	/**
	 * Has a node hear nothing from the others.
	 */
	RolloutModel deaf(int node) {
		this.deaf = node;
		return this;
	}

	/**
	 * Has sessions live on.
	 * @param live how many at a time on each route
	 * @param shared whether each of them asks both routes
	 */
	RolloutModel withSessions(int live, boolean shared) {
		List<Session> all = live(live);
		this.sessions.put(Route.SHORT, all);
		this.sessions.put(Route.LONG, shared ? all : live(live));
		return this;
	}

	private List<Session> live(int count) {
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
	 * Has each node learn of the order when it next asks for news.
	 */
	RolloutModel learnOneAfterAnother() {
		for (int i = 0; i < this.nodes.size(); i++) {
			long learnedAt = this.random.nextLong(this.newsMillis);
			this.nodes.set(i, node(learnedAt - this.newsMillis, learnedAt));
		}
		return this;
	}

	/**
	 * Has a node start anew.
	 * @param part when, as a part of the roll-out's time
	 */
	RolloutModel restart(int node, double part) {
		long at = Math.round(part * this.duration);
		this.events.add(new Event(at, () -> {
			Rollout fresh = node(NEVER, at);
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
	 * Has more requests come for a time.
	 * @param times how many times as many
	 * @param from when, as a part of the roll-out's time
	 * @param to until when
	 */
	RolloutModel burst(double times, double from, double to) {
		this.events.add(new Event(Math.round(from * this.duration), () -> this.perStep = times * PER_STEP));
		this.events.add(new Event(Math.round(to * this.duration), () -> this.perStep = PER_STEP));
		return this;
	}

	void run() {
		for (long now = 0; now <= this.duration; now += STEP) {
			while (!this.events.isEmpty() && this.events.peek().at <= now) {
				this.events.poll().action.run();
			}
			for (Route route : Route.values()) {
				for (double due = this.perStep; due > 0; due--) {
					if (this.random.nextDouble() < due) {
						send(now, route);
					}
				}
			}
			for (int i = 0; i < this.nodes.size(); i++) {
				look(now, i);
			}
		}
	}

	private Session sessionFor(Route route) {
		List<Session> live = this.sessions.get(route);
		if (live == null) {
			return session();
		}
		int index = this.random.nextInt(live.size());
		if (this.random.nextInt(NEW_SESSION) == 0) {
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
			.min(Comparator.comparingInt(this::running))
			.orElseThrow();
		boolean toTarget = replica.release().equals(TARGET);
		follow(now, session, toTarget);
		this.sent++;
		this.sentToTarget += toTarget ? 1 : 0;
		node.recordSent(replica);
		boolean fails = toTarget && bad(now, route, replica) && this.random.nextDouble() < BAD_RATE;
		this.running.merge(replica.id(), 1, Integer::sum);
		this.events.add(new Event(now + FIRST_MILLIS, () -> {
			node.onLoadReported(now + FIRST_MILLIS, replica, new LoadReport(running(replica), 0, SLOTS), now);
			node.onAnswerStarted(replica, new AnswerKind(route.name(), ""), fails, now, FIRST_MILLIS);
		}));
		this.events.add(new Event(now + (fails ? FIRST_MILLIS : route.millis),
				() -> this.running.merge(replica.id(), -1, Integer::sum)));
	}

	private void follow(long now, Session session, boolean toTarget) {
		boolean good = this.badness == Badness.NONE && this.state != RolloutState.ROLLED_BACK;
		this.movedBack += (session.onTarget && !toTarget && good) ? 1 : 0;
		this.tooEarly += (toTarget && 2 * now < this.duration) ? 1 : 0;
		session.onTarget = toTarget;
	}

	private int running(Replica replica) {
		return this.running.getOrDefault(replica.id(), 0);
	}

	private boolean bad(long now, Route route, Replica replica) {
		return switch (this.badness) {
			case NONE -> false;
			case START -> true;
			case UNDER_LOAD -> running(replica) >= SLOTS / 2;
			case ONE_ROUTE -> route == Route.LONG;
			case LATE -> now > 0.55 * this.duration;
		};
	}

	private void look(long now, int index) {
		Rollout node = this.nodes.get(index);
		if (now % LOOK_MILLIS == STEP * (index % (LOOK_MILLIS / STEP))) {
			node.update(now, (index == this.deaf) ? now : this.newsMillis);
			node.findDueState(now).ifPresent((due) -> write(now, due));
		}
		boolean due = now % this.noteMillis == STEP * (index % (this.noteMillis / STEP));
		if (index != this.deaf && (due || urgent(now, index))) {
			RolloutNote note = node.note(now, "node-" + index);
			this.told.put(index, note.evidence());
			this.toldAt.put(index, now);
			long at = now + newsMillis();
			this.events.add(new Event(at, () -> tell(at, index, note)));
		}
	}

	private boolean urgent(long now, int index) {
		double evidence = this.nodes.get(index).note(now, "node-" + index).evidence();
		double least = this.told.merge(index, evidence, Math::min);
		return evidence - least >= URGENT_EVIDENCE && now - this.toldAt.getOrDefault(index, 0L) >= URGENT_NOTE_MILLIS;
	}

	/**
	 * Returns how long news take now.
	 */
	private long newsMillis() {
		boolean grows = this.nodes.stream().anyMatch(Rollout::isRampingUp);
		return grows ? Math.min(URGENT_NEWS_MILLIS, this.newsMillis) : this.newsMillis;
	}

	private void tell(long now, int from, RolloutNote note) {
		for (int i = 0; i < this.nodes.size(); i++) {
			if (i != from && i != this.deaf) {
				this.nodes.get(i).onNote(now, note);
			}
		}
	}

	private void write(long now, RolloutState due) {
		boolean over = this.state == RolloutState.COMPLETED || this.state == RolloutState.ROLLED_BACK;
		if (over || due == this.state) {
			return;
		}
		this.state = due;
		this.revision++;
		long written = this.revision;
		this.events.add(new Event(now + newsMillis(), () -> {
			for (int i = 0; i < this.nodes.size(); i++) {
				if (i != this.deaf || due == RolloutState.RUNNING) {
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
	 * Returns how many requests ran on the old release after one in their session had run
	 * on the new one, though that is good and was not taken back.
	 */
	int movedBack() {
		return this.movedBack;
	}

	/**
	 * Returns how many requests of sessions ran on the new release in the first half.
	 */
	int tooEarly() {
		return this.tooEarly;
	}

	enum Badness {

		NONE, START, UNDER_LOAD, ONE_ROUTE, LATE

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
