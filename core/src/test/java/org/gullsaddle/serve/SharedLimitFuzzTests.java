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
 * Many nodes that always have requests for one replica, which names a limit. Requests,
 * answers and notes take their time, some requests wait for a connection, nodes start
 * again, and their clocks are apart.
 */
class SharedLimitFuzzTests {

	private static final int SEEDS = 4;

	private static final long NAMED_MILLIS = 1000;

	/** How long nodes have until the limit binds. */
	private static final long CONTACT_MILLIS = 4000;

	private static final long SPAN_MILLIS = 4000;

	private static final long END_MILLIS = 31_000;

	/** How long nodes have to hear that the limit has ended. */
	private static final long FREE_MILLIS = 15_000;

	/** The time in which all nodes join, one after the other. */
	private static final long JOINING_MILLIS = 25_000;

	/** One and a half times the limit, and five requests. */
	private static double allowed(double perSecond) {
		return 1.5 * perSecond * SPAN_MILLIS / 1000 + 5;
	}

	/** Guards against nodes that together send more than a replica in need takes. */
	@ParameterizedTest
	@CsvSource({ "1, 0.5", "1, 50", "4, 0", "4, 0.5", "4, 1", "4, 1.8", "4, 50", "31, 0.5", "31, 1.8", "31, 50",
			"340, 0", "340, 0.5", "340, 1", "340, 1.8", "340, 50" })
	void nodesTogetherKeepToTheLimit(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(nodes, seed);
			world.play(perSecond, perSecond);
			assertThat(world.most()).as("seed " + seed).isLessThanOrEqualTo((long) allowed(perSecond));
		}
	}

	/** Guards against shares that go wrong when the limit is another in each answer. */
	@ParameterizedTest
	@CsvSource({ "4, 1, 3", "31, 0.5, 2", "340, 1, 5" })
	void nodesTogetherKeepToALimitThatChanges(int nodes, double lowest, double highest) {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(nodes, seed);
			world.play(lowest, highest);
			assertThat(world.most()).as("seed " + seed).isLessThanOrEqualTo((long) allowed(highest));
		}
	}

	/** Guards against a replica in need that stands idle. */
	@ParameterizedTest
	@CsvSource({ "1, 1.8", "4, 1", "4, 1.8", "4, 50", "31, 1.8", "31, 50", "340, 1.8", "340, 50" })
	void replicaGetsTwoThirdsOfItsLimitAtLeast(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(nodes, seed);
			world.play(perSecond, perSecond);
			double seconds = (END_MILLIS - NAMED_MILLIS - CONTACT_MILLIS) / 1000.0;
			assertThat(world.counted()).as("seed " + seed).isGreaterThan((int) (perSecond * seconds * 2 / 3));
		}
	}

	/** Guards against nodes that never hear that a replica is as before. */
	@ParameterizedTest
	@CsvSource({ "1, 0", "4, 1.8", "31, 0.5", "340, 0.5", "340, 1.8" })
	void allNodesSendAsBeforeSoonAfterTheLimitHasEnded(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(nodes, seed);
			world.namedUntil = END_MILLIS - FREE_MILLIS;
			world.play(perSecond, perSecond);
			assertThat(world.bound()).as("seed " + seed).isZero();
		}
	}

	/** Guards against shares that overlap while nodes do not know all others yet. */
	@ParameterizedTest
	@CsvSource({ "4, 0.5", "31, 1", "31, 1.8", "100, 1.8", "100, 50" })
	void nodesThatJoinOneAfterTheOtherKeepToTheLimit(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(nodes, seed);
			world.join(JOINING_MILLIS);
			world.play(perSecond, perSecond);
			assertThat(world.most()).as("seed " + seed).isLessThanOrEqualTo((long) allowed(perSecond));
		}
	}

	/** Guards against a store that drowns in notes when a limit is named. */
	@ParameterizedTest
	@CsvSource({ "4, 1.8", "340, 1.8", "340, 50" })
	void fewNotesAreWrittenOfALimit(int nodes, double perSecond) {
		for (int seed = 0; seed < SEEDS; seed++) {
			World world = new World(nodes, seed);
			world.namedUntil = END_MILLIS - FREE_MILLIS;
			world.play(perSecond, perSecond);
			assertThat(world.notes).as("seed " + seed).isLessThanOrEqualTo(nodes / 4);
		}
	}

	/**
	 * The nodes and their replica.
	 */
	private static final class World {

		private static final NodeLocation PLACE = new NodeLocation("a",
				Map.of("a", "north", "b", "north", "c", "south"));

		private static final Replica REPLICA = new Replica(new ReplicaId("engine"), new ServiceName("engines"),
				new Address("10.0.0.1", 80), "b", "v1", 8, false, 1);

		private static final long TICK_MILLIS = 10;

		private static final long TOLD_MILLIS = 500;

		/** How long notes take at least, and half of how long they take at most. */
		private static final long READ_MILLIS = 750;

		/** How long a node waits until the others know it. */
		private static final long SETTLE_MILLIS = 2000;

		private final Random random;

		private final List<Node> nodes = new ArrayList<>();

		private final List<Peer> peers = new ArrayList<>();

		private List<Peer> known = List.of();

		private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));

		/** When requests came from nodes that had been told. */
		private final List<Long> arrivals = new ArrayList<>();

		private long namedUntil = Long.MAX_VALUE;

		private int notes;

		/** What a node reads of the replica as it starts. */
		private Optional<LimitNote> lastNote = Optional.empty();

		private double lowest;

		private double highest;

		private long now;

		World(int count, int seed) {
			this.random = new Random(seed);
			for (int i = 0; i < count; i++) {
				Peer peer = new Peer(new NodeId("node-" + seed + '-' + i), List.of("a", "b", "c").get(i % 3));
				this.peers.add(peer);
				this.nodes.add(new Node(peer.node()));
			}
		}

		/**
		 * Has nodes start one after the other.
		 */
		void join(long millis) {
			for (int i = 0; i < this.nodes.size(); i++) {
				this.nodes.get(i).startsAt = i * millis / this.nodes.size();
			}
		}

		/**
		 * Returns the nodes that a node knows: itself, and those whose notes it has read.
		 */
		private Optional<List<Peer>> knownTo(Node node) {
			if (this.now < node.startsAt + SETTLE_MILLIS) {
				return Optional.empty();
			}
			int count = this.known.size();
			while (count < this.nodes.size() && this.nodes.get(count).startsAt + 2 * READ_MILLIS <= this.now) {
				count++;
			}
			if (this.known.size() != count) {
				this.known = List.copyOf(this.peers.subList(0, count));
			}
			return Optional.of(this.known);
		}

		void play(double lowestLimit, double highestLimit) {
			this.lowest = lowestLimit;
			this.highest = highestLimit;
			for (this.now = 0; this.now < END_MILLIS; this.now += TICK_MILLIS) {
				while (!this.events.isEmpty() && this.events.peek().at <= this.now) {
					this.events.poll().action.run();
				}
				this.nodes.forEach(Node::tick);
			}
		}

		private void in(long millis, Runnable action) {
			this.events.add(new Event(this.now + Math.max(TICK_MILLIS, millis), action));
		}

		private Backpressure answer() {
			if (this.now < NAMED_MILLIS || this.now >= this.namedUntil) {
				return Backpressure.NONE;
			}
			double perSecond = this.lowest + (this.highest - this.lowest) * this.random.nextDouble();
			return Backpressure.of(new RateLimit.Named(perSecond));
		}

		private void arrived(Node from) {
			boolean binds = this.now >= NAMED_MILLIS + CONTACT_MILLIS && this.now < this.namedUntil;
			if (binds && this.now >= from.toldAt + TOLD_MILLIS) {
				this.arrivals.add(this.now);
			}
		}

		long most() {
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
		 * Returns how many nodes still take the replica as limited.
		 */
		long bound() {
			return this.nodes.stream().filter((node) -> node.book.limit(REPLICA).isPresent()).count();
		}

		private void write(LimitNote note) {
			this.notes++;
			this.lastNote = Optional.of(note);
			for (Node node : this.nodes) {
				in(READ_MILLIS + this.random.nextLong(READ_MILLIS), () -> node.learned(note));
			}
		}

		int counted() {
			return this.arrivals.size();
		}

		private record Event(long at, Runnable action) {
		}

		private final class Node {

			private static final long LONG_AGO_MILLIS = 60_000;

			private static final long NEVER = Long.MAX_VALUE / 2;

			private final NodeId id;

			private final long clockOffset = World.this.random.nextLong(1_000_000);

			private BackpressureBook book;

			private LimitNews news;

			private boolean due;

			private long toldAt = NEVER;

			private int life;

			private long startsAt = -LONG_AGO_MILLIS;

			Node(NodeId id) {
				this.id = id;
				start();
			}

			private void start() {
				this.life++;
				this.toldAt = NEVER;
				this.book = new BackpressureBook(this.id, PLACE, () -> knownTo(this), World.this.random);
				this.news = new LimitNews(this.book, World.this.random);
				World.this.lastNote.ifPresent(this::learned);
			}

			private void tell(int ownLife) {
				this.due = false;
				if (ownLife == this.life) {
					this.news.toTell(REPLICA.id()).ifPresent(World.this::write);
				}
			}

			void learned(LimitNote note) {
				int ownLife = this.life;
				this.news.learned(clock(), REPLICA.id(), note, Optional.of(REPLICA))
					.ifPresent((millis) -> in(millis, () -> {
						if (ownLife == this.life) {
							this.news.listed(clock(), REPLICA);
						}
					}));
			}

			private long clock() {
				return World.this.now + this.clockOffset;
			}

			void tick() {
				if (World.this.now < this.startsAt) {
					return;
				}
				if (World.this.random.nextInt(20_000) == 0) {
					start();
				}
				// Without a limit it sends less, as the replica is one of many.
				boolean wants = this.book.limit(REPLICA).isPresent() || World.this.random.nextInt(200) == 0;
				if (wants && this.book.takes(clock(), REPLICA)) {
					Admission admission = this.book.admit(clock(), REPLICA);
					int ownLife = this.life;
					long connects = (World.this.random.nextInt(5) == 0) ? World.this.random.nextLong(500) : 0;
					in(connects, () -> connected(admission, ownLife));
				}
			}

			private void connected(Admission admission, int ownLife) {
				if (ownLife == this.life && this.book.mayStillSend(clock(), REPLICA, admission)) {
					in(World.this.random.nextLong(40), () -> arrive(ownLife));
				}
			}

			private void arrive(int ownLife) {
				arrived(this);
				in(World.this.random.nextLong(300), () -> {
					Backpressure answer = answer();
					in(World.this.random.nextLong(40), () -> heard(answer, ownLife));
				});
			}

			private void heard(Backpressure answer, int ownLife) {
				if (ownLife != this.life) {
					return;
				}
				this.news.heard(clock(), REPLICA, answer).ifPresent((millis) -> {
					if (!this.due) {
						this.due = true;
						in(millis, () -> tell(ownLife));
					}
				});
				if (answer.limit() instanceof RateLimit.Named && this.toldAt == NEVER) {
					this.toldAt = World.this.now;
				}
			}

		}

	}

}
