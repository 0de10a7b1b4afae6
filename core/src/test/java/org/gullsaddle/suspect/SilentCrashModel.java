package org.gullsaddle.suspect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

/**
 * Simulates a node with a {@link CrashDetector} and a {@link CrashTracker}, before
 * replicas that go silent with their connections open, on a content or together. Uses a
 * virtual clock.
 */
final class SilentCrashModel {

	/** The content on which replicas go silent. */
	static final Trait POISON = Trait.content(new Fingerprint("poison"));

	/** How long a node waits for a replica that sends nothing, in milliseconds. */
	private static final long PATIENCE_MILLIS = 800;

	/** When the entry of a silent replica lapses, in milliseconds, and how much later. */
	private static final long LAPSE_MILLIS = 2400;

	private static final int LAPSE_SPREAD_MILLIS = 1200;

	/** How long after it went silent a replica is back, in milliseconds. */
	private static final long BACK_MILLIS = 4500;

	/** How long a removed replica still serves, in milliseconds. */
	private static final long DRAIN_MILLIS = 3000;

	private static final long EVENT_MILLIS = 50;

	private static final int MAX_READ_MILLIS = 200;

	private static final int MAX_EVENTS = 20;

	private static final int MAX_ATTEMPTS = 3;

	private static final int SUBJECTS = 10;

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingInt(Event::number));

	private final CrashDetector detector = new CrashDetector();

	private final CrashTracker tracker = new CrashTracker();

	private final Set<Trait> blocked = new HashSet<>();

	private final List<Process> processes = new ArrayList<>();

	/** Until when the node avoids replicas, in milliseconds. */
	private final Map<ReplicaId, Long> avoidedUntil = new HashMap<>();

	private final List<Long> poisonSent = new ArrayList<>();

	private final List<Long> poisonCrashes = new ArrayList<>();

	private int crashCount;

	private long now;

	private int nextEventNumber;

	SilentCrashModel(long seed, int replicas) {
		this.random = new Random(seed);
		for (int i = 0; i < replicas; i++) {
			start(i);
		}
	}

	private void start(int index) {
		Process process = new Process(new Replica(new ReplicaId("r" + index), new ServiceName("engines"),
				new Address("10.0.0." + (index + 1), 80), "a", "v1", 8, false, this.now));
		if (index < this.processes.size()) {
			this.processes.set(index, process);
		}
		else {
			this.processes.add(process);
		}
		this.avoidedUntil.remove(process.replica.id());
		onCrash(this.detector.onListed(this.now, process.replica));
	}

	private void at(long time, Runnable action) {
		this.events.add(new Event(time, this.nextEventNumber++, action));
	}

	/**
	 * Schedules sound requests for a period.
	 * @param contents how many contents they have
	 */
	void traffic(long from, long to, long everyMillis, int contents) {
		for (long time = from; time < to; time += everyMillis) {
			at(time, () -> send(
					List.of(Trait.part("first"), Trait.part("subject-" + this.random.nextInt(SUBJECTS)),
							Trait.content(new Fingerprint("content-" + this.random.nextInt(contents)))),
					1, new HashSet<>()));
		}
	}

	void repeatPoison(long from, long to, long everyMillis) {
		for (long time = from; time < to; time += everyMillis) {
			at(time, () -> send(List.of(Trait.part("first"), Trait.part("subject-0"), POISON), 1, new HashSet<>()));
		}
	}

	/**
	 * Has the first replicas go silent at one moment.
	 * @param cutOff whether they are cut off for a while, else they start again
	 */
	void rackFallsSilent(long time, int replicas, boolean cutOff) {
		at(time, () -> {
			for (int i = 0; i < replicas; i++) {
				goSilent(i, this.processes.get(i), cutOff);
			}
		});
	}

	/**
	 * Removes one replica after the other, which serves on for a while.
	 * @param announced whether its entry says so before
	 */
	void stepsDown(long from, long to, long everyMillis, boolean announced) {
		int replica = 0;
		for (long time = from; time < to; time += everyMillis) {
			int index = replica++ % this.processes.size();
			at(time, () -> stepDown(index, announced));
		}
	}

	private void stepDown(int index, boolean announced) {
		Process process = this.processes.get(index);
		process.listed = false;
		if (announced) {
			this.detector.onLeaving(this.now, process.replica.id());
		}
		else {
			onCrash(this.detector.onUnlisted(this.now, process.replica.id()));
		}
		at(this.now + DRAIN_MILLIS, () -> {
			process.stopped = true;
			List.copyOf(process.runs).forEach((run) -> end(run, CrashDetector.EndKind.BROKEN));
			onCrash(this.detector.onUnlisted(this.now, process.replica.id()));
			start(index);
		});
	}

	private void goSilent(int index, Process process, boolean cutOff) {
		if (process.silent) {
			return;
		}
		process.silent = true;
		at(this.now + LAPSE_MILLIS + this.random.nextInt(LAPSE_SPREAD_MILLIS), () -> {
			process.listed = false;
			onCrash(this.detector.onUnlisted(this.now, process.replica.id()));
		});
		at(this.now + BACK_MILLIS, () -> {
			if (cutOff) {
				process.silent = false;
				process.listed = true;
				onCrash(this.detector.onListed(this.now, process.replica));
				List.copyOf(process.runs).forEach((run) -> sendEvent(run, 1));
				return;
			}
			process.stopped = true;
			List.copyOf(process.runs).forEach((run) -> end(run, CrashDetector.EndKind.BROKEN));
			start(index);
		});
	}

	void run(long until) {
		while (!this.events.isEmpty() && this.events.peek().at <= until) {
			Event event = this.events.poll();
			this.now = event.at;
			event.action.run();
			this.blocked.addAll(this.tracker.reevaluate(this.now));
		}
	}

	private void send(List<Trait> traits, int attempt, Set<ReplicaId> tried) {
		if (this.tracker.isBlocked(traits)) {
			return;
		}
		List<Integer> usable = new ArrayList<>();
		for (int i = 0; i < this.processes.size(); i++) {
			ReplicaId id = this.processes.get(i).replica.id();
			if (this.processes.get(i).listed && !tried.contains(id)
					&& this.avoidedUntil.getOrDefault(id, 0L) <= this.now) {
				usable.add(i);
			}
		}
		if (usable.isEmpty()) {
			return;
		}
		int index = usable.get(this.random.nextInt(usable.size()));
		Process process = this.processes.get(index);
		tried.add(process.replica.id());
		Run run = new Run(process, traits, this.now, attempt, tried);
		process.runs.add(run);
		if (traits.contains(POISON)) {
			this.poisonSent.add(this.now);
		}
		at(this.now + 1 + this.random.nextInt(MAX_READ_MILLIS), () -> begin(index, run));
		watch(run, this.now);
	}

	private void begin(int index, Run run) {
		if (!run.canContinue()) {
			return;
		}
		if (run.traits.contains(POISON)) {
			this.poisonCrashes.add(this.now);
			goSilent(index, run.process, false);
			return;
		}
		sendEvent(run, 1 + this.random.nextInt(MAX_EVENTS));
	}

	private void sendEvent(Run run, int left) {
		if (!run.canContinue()) {
			return;
		}
		run.process.heardAt = this.now;
		if (this.detector.onBytes(run.process.replica)) {
			this.tracker.onAlive(Crash.processName(run.process.replica), this.now);
		}
		if (left > 0) {
			at(this.now + EVENT_MILLIS, () -> sendEvent(run, left - 1));
			return;
		}
		run.process.runs.remove(run);
		this.detector.onAnswer(run.process.replica, run.startedAt);
		this.tracker.onSuccess(this.now, run.traits);
	}

	/** Moves the request once its replica has been silent for too long. */
	private void watch(Run run, long since) {
		at(since + PATIENCE_MILLIS + 1, () -> {
			if (!run.process.runs.contains(run)) {
				return;
			}
			if (run.silentSince() > since) {
				watch(run, run.silentSince());
				return;
			}
			this.avoidedUntil.put(run.process.replica.id(), this.now + PATIENCE_MILLIS);
			end(run, CrashDetector.EndKind.CANCELLED);
			if (run.attempt < MAX_ATTEMPTS) {
				send(run.traits, run.attempt + 1, run.tried);
			}
		});
	}

	private void end(Run run, CrashDetector.EndKind kind) {
		run.process.runs.remove(run);
		OptionalLong silentSince = (this.now - run.silentSince() > PATIENCE_MILLIS) ? OptionalLong.of(run.silentSince())
				: OptionalLong.empty();
		onCrash(this.detector.onAttemptEnd(this.now, run.process.replica, run.startedAt, silentSince, kind,
				run.traits));
	}

	private void onCrash(Optional<Crash> crash) {
		if (crash.isPresent()) {
			this.crashCount++;
			this.blocked.addAll(this.tracker.onCrash(this.now, crash.get()));
		}
	}

	Set<Trait> blocked() {
		return this.blocked;
	}

	int crashCount() {
		return this.crashCount;
	}

	/**
	 * Counts how often the content was sent later than some time after one of the crashes
	 * by it.
	 * @param crash the number of the crash, from 1
	 */
	long poisonSentAfter(int crash, long millis) {
		if (this.poisonCrashes.size() < crash) {
			return 0;
		}
		return this.poisonSent.stream().filter((sent) -> sent > this.poisonCrashes.get(crash - 1) + millis).count();
	}

	private static final class Process {

		private final Replica replica;

		private final Set<Run> runs = new HashSet<>();

		private boolean listed = true;

		private boolean silent;

		private boolean stopped;

		private long heardAt;

		Process(Replica replica) {
			this.replica = replica;
		}

	}

	private record Run(Process process, List<Trait> traits, long startedAt, int attempt, Set<ReplicaId> tried) {

		boolean canContinue() {
			return !this.process.silent && !this.process.stopped && this.process.runs.contains(this);
		}

		long silentSince() {
			return Math.max(this.startedAt, this.process.heardAt);
		}

	}

	private record Event(long at, int number, Runnable action) {
	}

}
