package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Many nodes always have requests for one replica with a rate limit. Requests, answers
 * and notes are delayed, some requests wait for a connection, nodes restart, and their
 * clocks differ.
 */
class SharedLimitFuzzTests {

	private static final int SEEDS = 4;

	private static final long LIMIT_START_MILLIS = 1000;

	/** How long nodes have until the limit is enforced. */
	private static final long ENFORCEMENT_DELAY_MILLIS = 4000;

	private static final long SPAN_MILLIS = 4000;

	private static final long END_MILLIS = 31_000;

	/** How long nodes have to learn that the limit has ended. */
	private static final long RECOVERY_MILLIS = 15_000;

	/** The time in which all nodes join, one after the other. */
	private static final long JOINING_MILLIS = 25_000;

	/** One and a half times the limit, and five requests. */
	private static double maxArrivals(double perSecond) {
		return 1.5 * perSecond * SPAN_MILLIS / 1000 + 5;
	}

	/** Guards against nodes that together exceed a replica's limit. */
	@ParameterizedTest
	@CsvSource({ "1, 0.5", "1, 50", "4, 0", "4, 0.5", "4, 1", "4, 1.8", "4, 50", "31, 0.5", "31, 1.8", "31, 50",
			"340, 0", "340, 0.5", "340, 1", "340, 1.8", "340, 50" })
	void nodesTogetherKeepToTheLimit(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation world = new Simulation(nodes, seed);
			world.run(perSecond, perSecond);
			assertThat(world.maxArrivalsInSpan()).as("seed " + seed).isLessThanOrEqualTo((long) maxArrivals(perSecond));
		}
	}

	/** Guards against wrong shares when the limit differs in each answer. */
	@ParameterizedTest
	@CsvSource({ "4, 1, 3", "31, 0.5, 2", "340, 1, 5" })
	void nodesTogetherKeepToALimitThatChanges(int nodes, double lowest, double highest) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation world = new Simulation(nodes, seed);
			world.run(lowest, highest);
			assertThat(world.maxArrivalsInSpan()).as("seed " + seed).isLessThanOrEqualTo((long) maxArrivals(highest));
		}
	}

	/** Guards against a limited replica that is left idle. */
	@ParameterizedTest
	@CsvSource({ "1, 1.8", "4, 1", "4, 1.8", "4, 50", "31, 1.8", "31, 50", "340, 1.8", "340, 50" })
	void replicaGetsTwoThirdsOfItsLimitAtLeast(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation world = new Simulation(nodes, seed);
			world.run(perSecond, perSecond);
			double seconds = (END_MILLIS - LIMIT_START_MILLIS - ENFORCEMENT_DELAY_MILLIS) / 1000.0;
			assertThat(world.arrivalCount()).as("seed " + seed).isGreaterThan((int) (perSecond * seconds * 2 / 3));
		}
	}

	/** Guards against nodes that never learn that the limit has ended. */
	@ParameterizedTest
	@CsvSource({ "1, 0", "4, 1.8", "31, 0.5", "340, 0.5", "340, 1.8" })
	void allNodesSendAsBeforeSoonAfterTheLimitHasEnded(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation world = new Simulation(nodes, seed);
			world.limitedUntil = END_MILLIS - RECOVERY_MILLIS;
			world.run(perSecond, perSecond);
			assertThat(world.limitedNodes()).as("seed " + seed).isZero();
		}
	}

	/** Guards against shares that overlap while nodes do not know all peers yet. */
	@ParameterizedTest
	@CsvSource({ "4, 0.5", "31, 1", "31, 1.8", "100, 1.8", "100, 50" })
	void nodesThatJoinOneAfterTheOtherKeepToTheLimit(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation world = new Simulation(nodes, seed);
			world.startOneAfterAnother(JOINING_MILLIS);
			world.run(perSecond, perSecond);
			assertThat(world.maxArrivalsInSpan()).as("seed " + seed).isLessThanOrEqualTo((long) maxArrivals(perSecond));
		}
	}

	/** Guards against a store that is overloaded with notes on a new limit. */
	@ParameterizedTest
	@CsvSource({ "4, 1.8", "340, 1.8", "340, 50" })
	void fewNotesAreWrittenOfALimit(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			Simulation world = new Simulation(nodes, seed);
			world.limitedUntil = END_MILLIS - RECOVERY_MILLIS;
			world.run(perSecond, perSecond);
			assertThat(world.notes).as("seed " + seed).isLessThanOrEqualTo(nodes / 4);
		}
	}

	/**
	 * The simulated nodes and their replica.
	 */
	private static final class Simulation {

		private static final NodeLocation PLACE = new NodeLocation("a",
				Map.of("a", "north", "b", "north", "c", "south"));

		private static final Replica REPLICA = new Replica(new ReplicaId("engine"), new ServiceName("engines"),
				new Address("10.0.0.1", 80), "b", "v1", 8, false, 1);

		private static final long TICK_MILLIS = 10;

		private static final long REACTION_MILLIS = 500;

		/** The shortest time that notes take, which is half of the longest. */
		private static final long MIN_PROPAGATION_MILLIS = 750;

		/** How long a node waits until its peers know it. */
		private static final long SETTLE_MILLIS = 2000;

		private final Random random;

		private final List<Node> nodes = new ArrayList<>();

		private final List<Peer> peers = new ArrayList<>();

		private List<Peer> knownPeers = List.of();

		private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

		/** When requests arrived from nodes that knew the limit. */
		private final List<Long> arrivals = new ArrayList<>();

		private long limitedUntil = Long.MAX_VALUE;

		private int notes;

		/** The note on the replica that a node reads when it starts. */
		private Optional<LimitNote> lastNote = Optional.empty();

		private double lowest;

		private double highest;

		private long now;

		Simulation(int count, int seed) {
			this.random = new Random(seed);
			for (int i = 0; i < count; i++) {
				Peer peer = new Peer(new NodeId("node-" + seed + '-' + i), List.of("a", "b", "c").get(i % 3));
				this.peers.add(peer);
				this.nodes.add(new Node(peer.node()));
			}
		}

		/**
		 * Makes the nodes start one after the other.
		 */
		void startOneAfterAnother(long millis) {
			for (int i = 0; i < this.nodes.size(); i++) {
				this.nodes.get(i).startsAt = i * millis / this.nodes.size();
			}
		}

		/**
		 * Returns the nodes that a node knows: itself, and those whose notes it has read.
		 */
		private Optional<List<Peer>> peersKnownTo(Node node) {
			if (this.now < node.startsAt + SETTLE_MILLIS) {
				return Optional.empty();
			}
			int count = this.knownPeers.size();
			while (count < this.nodes.size()
					&& this.nodes.get(count).startsAt + 2 * MIN_PROPAGATION_MILLIS <= this.now) {
				count++;
			}
			if (this.knownPeers.size() != count) {
				this.knownPeers = List.copyOf(this.peers.subList(0, count));
			}
			return Optional.of(this.knownPeers);
		}

		void run(double lowestLimit, double highestLimit) {
			this.lowest = lowestLimit;
			this.highest = highestLimit;
			for (this.now = 0; this.now < END_MILLIS; this.now += TICK_MILLIS) {
				while (!this.events.isEmpty() && this.events.peek().at <= this.now) {
					this.events.poll().action.run();
				}
				this.nodes.forEach(Node::tick);
			}
		}

		private void schedule(long millis, Runnable action) {
			this.events.add(new Event(this.now + Math.max(TICK_MILLIS, millis), action));
		}

		private Backpressure answer() {
			if (this.now < LIMIT_START_MILLIS || this.now >= this.limitedUntil) {
				return Backpressure.NONE;
			}
			double perSecond = this.lowest + (this.highest - this.lowest) * this.random.nextDouble();
			return Backpressure.ofLimit(new RateLimit.Limited(perSecond));
		}

		private void onArrival(Node from) {
			boolean binds = this.now >= LIMIT_START_MILLIS + ENFORCEMENT_DELAY_MILLIS && this.now < this.limitedUntil;
			if (binds && this.now >= from.limitKnownAt + REACTION_MILLIS) {
				this.arrivals.add(this.now);
			}
		}

		long maxArrivalsInSpan() {
			long most = 0;
			int first = 0;
			for (int last = 0; last < this.arrivals.size(); last++) {
				while (this.arrivals.get(last) - this.arrivals.get(first) > SPAN_MILLIS) {
					first++;
				}
				most = Math.max(most, last - first + 1);
			}
			return most;
		}

		/**
		 * Returns how many nodes still apply a limit to the replica.
		 */
		long limitedNodes() {
			return this.nodes.stream().filter((node) -> node.table.limit(REPLICA).isPresent()).count();
		}

		private void write(LimitNote note) {
			this.notes++;
			this.lastNote = Optional.of(note);
			for (Node node : this.nodes) {
				schedule(MIN_PROPAGATION_MILLIS + this.random.nextLong(MIN_PROPAGATION_MILLIS),
						() -> node.onNote(note));
			}
		}

		int arrivalCount() {
			return this.arrivals.size();
		}

		private record Event(long at, Runnable action) {
		}

		private final class Node {

			private static final long LONG_AGO_MILLIS = 60_000;

			private static final long NEVER = Long.MAX_VALUE / 2;

			private final NodeId id;

			private final long clockOffset = Simulation.this.random.nextLong(1_000_000);

			private BackpressureTable table;

			private LimitNoteExchange exchange;

			private boolean writeDue;

			private long limitKnownAt = NEVER;

			private int incarnation;

			private long startsAt = -LONG_AGO_MILLIS;

			Node(NodeId id) {
				this.id = id;
				start();
			}

			private void start() {
				this.incarnation++;
				this.limitKnownAt = NEVER;
				this.table = new BackpressureTable(this.id, PLACE, () -> peersKnownTo(this), Simulation.this.random);
				this.exchange = new LimitNoteExchange(this.table, Simulation.this.random);
				Simulation.this.lastNote.ifPresent(this::onNote);
			}

			private void writeNote(int ownLife) {
				this.writeDue = false;
				if (ownLife == this.incarnation) {
					this.exchange.findNoteToWrite(REPLICA.id()).ifPresent(Simulation.this::write);
				}
			}

			void onNote(LimitNote note) {
				int ownLife = this.incarnation;
				this.exchange.onNote(clock(), REPLICA.id(), note, Optional.of(REPLICA))
					.ifPresent((millis) -> schedule(millis, () -> {
						if (ownLife == this.incarnation) {
							this.exchange.onReplicaListed(clock(), REPLICA);
						}
					}));
			}

			private long clock() {
				return Simulation.this.now + this.clockOffset;
			}

			void tick() {
				if (Simulation.this.now < this.startsAt) {
					return;
				}
				if (Simulation.this.random.nextInt(20_000) == 0) {
					start();
				}
				// Without a limit, the node sends less, because the replica is one of
				// many.
				boolean wants = this.table.limit(REPLICA).isPresent() || Simulation.this.random.nextInt(200) == 0;
				if (wants && this.table.canSend(clock(), REPLICA)) {
					SendPermission admission = this.table.admit(clock(), REPLICA);
					int ownLife = this.incarnation;
					long connects = (Simulation.this.random.nextInt(5) == 0) ? Simulation.this.random.nextLong(500) : 0;
					schedule(connects, () -> onConnected(admission, ownLife));
				}
			}

			private void onConnected(SendPermission admission, int ownLife) {
				if (ownLife == this.incarnation && this.table.canStillSend(clock(), REPLICA, admission)) {
					schedule(Simulation.this.random.nextLong(40), () -> arrive(ownLife));
				}
			}

			private void arrive(int ownLife) {
				onArrival(this);
				schedule(Simulation.this.random.nextLong(300), () -> {
					Backpressure answer = answer();
					schedule(Simulation.this.random.nextLong(40), () -> onAnswer(answer, ownLife));
				});
			}

			private void onAnswer(Backpressure answer, int ownLife) {
				if (ownLife != this.incarnation) {
					return;
				}
				this.exchange.onAnswer(clock(), REPLICA, answer).ifPresent((millis) -> {
					if (!this.writeDue) {
						this.writeDue = true;
						schedule(millis, () -> writeNote(ownLife));
					}
				});
				if (answer.limit() instanceof RateLimit.Limited && this.limitKnownAt == NEVER) {
					this.limitKnownAt = Simulation.this.now;
				}
			}

		}

	}

}
