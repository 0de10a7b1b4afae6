package org.gullsaddle.suspect;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.gullsaddle.base.Fingerprint;

/**
 * Simulates nodes, each with a {@link CrashTracker}, and replicas that crash on a deadly
 * part or content, or for reasons unrelated to requests. Uses a virtual clock; notes
 * between nodes are delayed.
 */
final class CrashModel {

	static final Trait DEADLY = Trait.part("deadly");

	/** The repeated content. */
	static final Trait POISON = Trait.content(new Fingerprint("poison"));

	private static final long CLOCK = 1_700_000_000_000L;

	private static final long RESTART_MILLIS = 2500;

	private static final long DETECTION_MILLIS = 60;

	private static final long NOTE_DELAY_MILLIS = 200;

	/** The longest time from writing a note until a peer has read it. */
	private static final int MAX_READ_MILLIS = 900;

	private static final long SUCCESS_MILLIS = 500;

	private static final long REEVALUATE_MILLIS = 200;

	/**
	 * The longest random delay before a node reports a block that its peers may report
	 * too.
	 */
	private static final int MAX_SPREAD_MILLIS = 200;

	private static final int MAX_ATTEMPTS = 3;

	private static final int SUBJECTS = 40;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingInt(Event::number));

	private final List<CrashTracker> trackers = new ArrayList<>();

	private final Set<Integer> pendingNotes = new HashSet<>();

	private final List<Set<Run>> replicas = new ArrayList<>();

	private final int[] processNumbers;

	private final boolean[] alive;

	final Set<Trait> blocked = new HashSet<>();

	final List<Long> crashes = new ArrayList<>();

	final List<Long> deadlySent = new ArrayList<>();

	private final List<Long> poisonSent = new ArrayList<>();

	private final List<Long> poisonCrashes = new ArrayList<>();

	private long now;

	private int nextEventNumber;

	private int requestCount;

	CrashModel(long seed, int nodes, int replicas) {
		this.random = new Random(seed);
		for (int i = 0; i < nodes; i++) {
			this.trackers.add(new CrashTracker());
		}
		for (int i = 0; i < replicas; i++) {
			this.replicas.add(new HashSet<>());
		}
		this.processNumbers = new int[replicas];
		this.alive = new boolean[replicas];
		Arrays.fill(this.alive, true);
	}

	private void at(long time, Runnable action) {
		this.events.add(new Event(time, this.nextEventNumber++, action));
	}

	/**
	 * Schedules requests for a period.
	 * @param everyMillis the interval between them
	 * @param deadlyShare the share of them that has the deadly part
	 */
	void traffic(long from, long to, long everyMillis, double deadlyShare) {
		for (long time = from; time < to; time += everyMillis) {
			at(time, () -> {
				boolean deadly = this.random.nextDouble() < deadlyShare;
				List<Trait> traits = new ArrayList<>(List.of(Trait.part("first")));
				traits.add(Trait.part("subject-" + this.random.nextInt(SUBJECTS)));
				if (deadly) {
					traits.add(DEADLY);
				}
				traits.add(Trait.content(new Fingerprint("content-" + this.requestCount++)));
				send(this.random.nextInt(this.trackers.size()), traits, 1);
			});
		}
	}

	/**
	 * Schedules one content again and again that crashes replicas and whose parts other
	 * requests have too. It is not retried elsewhere.
	 * @param copies how many copies are sent together
	 */
	void repeat(long from, long to, long everyMillis, int copies) {
		List<Trait> traits = List.of(Trait.part("first"), Trait.part("subject-0"), POISON);
		for (long time = from; time < to; time += everyMillis) {
			for (int i = 0; i < copies; i++) {
				at(time, () -> send(this.random.nextInt(this.trackers.size()), traits, MAX_ATTEMPTS));
			}
		}
	}

	/** Crashes a share of the replicas at one moment. */
	void rackFails(long time, double share) {
		at(time, () -> {
			int last = (int) Math.round(share * this.replicas.size());
			for (int i = 0; i < last; i++) {
				crash(i);
			}
		});
	}

	/** Crashes one replica at an interval. */
	void replicaFails(int replica, long from, long to, long everyMillis) {
		for (long time = from; time < to; time += everyMillis) {
			at(time, () -> crash(replica));
		}
	}

	void run(long until) {
		for (long time = REEVALUATE_MILLIS; time < until; time += REEVALUATE_MILLIS) {
			at(time, this::reevaluate);
		}
		while (!this.events.isEmpty() && this.events.peek().at <= until) {
			Event event = this.events.poll();
			this.now = event.at;
			event.action.run();
		}
	}

	private void reevaluate() {
		for (int i = 0; i < this.trackers.size(); i++) {
			int node = i;
			this.blocked.addAll(this.trackers.get(i).reevaluate(this.now));
			if (this.trackers.get(i).hasUnreportedBlocks()) {
				at(this.now + this.random.nextInt(MAX_SPREAD_MILLIS), () -> {
					if (this.trackers.get(node).hasUnreportedBlocks()) {
						sendNote(node);
					}
				});
			}
		}
	}

	private void send(int node, List<Trait> traits, int attempt) {
		if (this.trackers.get(node).isBlocked(traits)) {
			return;
		}
		int replica = this.random.nextInt(this.replicas.size());
		if (!this.alive[replica]) {
			if (attempt < MAX_ATTEMPTS) {
				at(this.now + 5, () -> send(node, traits, attempt + 1));
			}
			return;
		}
		Run run = new Run(node, traits, this.now, attempt);
		this.replicas.get(replica).add(run);
		int processNumber = this.processNumbers[replica];
		long begins = this.now + 40 + this.random.nextInt(400);
		boolean poison = traits.contains(POISON);
		boolean deadly = poison || traits.contains(DEADLY);
		if (deadly) {
			(poison ? this.poisonSent : this.deadlySent).add(this.now);
		}
		at(begins, () -> {
			if (deadly && isRunning(replica, processNumber, run)) {
				if (poison) {
					this.poisonCrashes.add(this.now);
				}
				crash(replica);
			}
		});
		at(begins + SUCCESS_MILLIS, () -> {
			if (isRunning(replica, processNumber, run)) {
				onSuccess(run);
			}
		});
		at(begins + SUCCESS_MILLIS + this.random.nextInt(2000), () -> this.replicas.get(replica).remove(run));
	}

	private boolean isRunning(int replica, int processNumber, Run run) {
		return this.alive[replica] && this.processNumbers[replica] == processNumber
				&& this.replicas.get(replica).contains(run);
	}

	private void onSuccess(Run run) {
		CrashTracker tracker = this.trackers.get(run.node);
		boolean unblocked = !tracker.onSuccess(this.now, run.traits).isEmpty();
		if (unblocked || tracker.shouldReportSuccess(run.traits)) {
			sendNote(run.node);
		}
	}

	private void crash(int replica) {
		if (!this.alive[replica]) {
			return;
		}
		String process = "replica-" + replica + "@" + this.processNumbers[replica];
		Map<Integer, Map<Trait, Long>> seen = new HashMap<>();
		for (Run run : this.replicas.get(replica)) {
			Map<Trait, Long> ran = seen.computeIfAbsent(run.node, (node) -> new HashMap<>());
			run.traits.forEach((trait) -> ran.merge(trait, this.now - run.startedAt, Math::min));
			if (run.attempt < MAX_ATTEMPTS) {
				at(this.now + 2, () -> send(run.node, run.traits, run.attempt + 1));
			}
		}
		this.crashes.add(this.now);
		this.replicas.get(replica).clear();
		this.alive[replica] = false;
		long died = this.now;
		seen.forEach((node, ran) -> at(died + DETECTION_MILLIS, () -> {
			this.blocked.addAll(this.trackers.get(node).onCrash(this.now, new Crash(process, died, ran)));
			sendNote(node);
		}));
		at(died + RESTART_MILLIS, () -> {
			this.alive[replica] = true;
			this.processNumbers[replica]++;
		});
	}

	private void sendNote(int node) {
		if (!this.pendingNotes.add(node)) {
			return;
		}
		at(this.now + NOTE_DELAY_MILLIS, () -> {
			this.pendingNotes.remove(node);
			this.trackers.get(node).buildNote(this.now, CLOCK + this.now).ifPresent((note) -> {
				for (int i = 0; i < this.trackers.size(); i++) {
					CrashTracker other = this.trackers.get(i);
					if (i != node) {
						at(this.now + 20 + this.random.nextInt(MAX_READ_MILLIS),
								() -> this.blocked.addAll(other.onNote(this.now, CLOCK + this.now, note).blocked()));
					}
				}
			});
		});
	}

	/**
	 * Counts the requests with the deadly part that were sent later than some time after
	 * one of the crashes.
	 * @param crash the number of the crash, from 1
	 */
	long sentAfter(int crash, long millis) {
		if (this.crashes.size() < crash) {
			return 0;
		}
		return this.deadlySent.stream().filter((at) -> at > this.crashes.get(crash - 1) + millis).count();
	}

	/**
	 * Counts the same for the repeated content, by the crashes it caused.
	 */
	long poisonSentAfter(int crash, long millis) {
		if (this.poisonCrashes.size() < crash) {
			return 0;
		}
		return this.poisonSent.stream().filter((at) -> at > this.poisonCrashes.get(crash - 1) + millis).count();
	}

	boolean isBlockedByAll(Trait trait) {
		return this.trackers.stream().allMatch((tracker) -> tracker.isBlocked(List.of(trait)));
	}

	private record Run(int node, List<Trait> traits, long startedAt, int attempt) {
	}

	private record Event(long at, int number, Runnable action) {
	}

}
