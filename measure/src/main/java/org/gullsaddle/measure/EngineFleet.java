package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import java.util.stream.IntStream;

import org.HdrHistogram.Histogram;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.Loss;
import org.gullsaddle.serve.ModelSizeClass;
import org.gullsaddle.serve.Prompt;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.ReplicaSelector;
import org.gullsaddle.serve.ReplicaTask;

/**
 * Nodes that spread requests over engines in one data center, each node knowing its own
 * requests and what answers told of load, a tenth of a second old.
 */
final class EngineFleet {

	private static final int NODES = 4;

	/** How many engines are asked where all of the best are. */
	private static final int ASKED = 3;

	/** How old a load report is, in milliseconds. */
	private static final double REPORT_MILLIS = 100;

	private static final int OK = 200;

	/** The chance of being in time from which a node counts on it. */
	static final double LIKELY = 0.8;

	private final Timeline time;

	private final Policy policy;

	private final EngineShape shape;

	private final Random random;

	private final EngineRack rack;

	private final Map<ReplicaId, Integer> numbers = new HashMap<>();

	private final Map<ReplicaId, LoadReport> reports = new HashMap<>();

	private final List<ReplicaSelector> nodes = new ArrayList<>();

	private final List<int[]> outstanding = new ArrayList<>();

	private final Histogram first = new Histogram(3_600_000, 3);

	private int asked;

	private int largePrompts;

	private int inTime;

	private int promised;

	private int promisedInTime;

	private int arrived;

	EngineFleet(Timeline time, Policy policy, int count, EngineShape shape, long seed) {
		this(time, policy, NODES, count, shape, seed);
	}

	/**
	 * Makes a fleet of engines behind some nodes.
	 */
	EngineFleet(Timeline time, Policy policy, int nodes, int count, EngineShape shape, long seed) {
		this(time, policy, Loss.ALL, nodes, count, shape, seed);
	}

	/**
	 * Makes a fleet whose nodes pick engines by some losses only.
	 */
	EngineFleet(Timeline time, List<Loss> losses, int count, EngineShape shape, long seed) {
		this(time, Policy.GULLSADDLE, losses, NODES, count, shape, seed);
	}

	private EngineFleet(Timeline time, Policy policy, List<Loss> losses, int nodes, int count, EngineShape shape,
			long seed) {
		this.time = time;
		this.policy = policy;
		this.shape = shape;
		this.random = new Random(seed);
		this.rack = new EngineRack(time, Collections.nCopies(count, shape), REPORT_MILLIS);
		for (Replica replica : this.rack.replicas()) {
			this.numbers.put(replica.id(), this.numbers.size());
			this.reports.put(replica.id(), new LoadReport(0, 0, shape.slots()));
		}
		for (int i = 0; i < nodes; i++) {
			this.nodes.add(new ReplicaSelector(EngineRack.PLACE, losses));
			this.outstanding.add(new int[count]);
		}
	}

	/**
	 * Lets a request arrive now at any node.
	 * @param prompt its prompt
	 * @param model the model that runs it
	 * @param output how many tokens it generates
	 * @param objective how soon its first token is wanted, in milliseconds
	 */
	void arrive(Prompt prompt, ModelKind model, int output, double objective) {
		this.arrived++;
		int node = this.random.nextInt(this.nodes.size());
		ReplicaTask task = new ReplicaTask(model.name(), prompt, model.relativePace(),
				(model.relativePace() > 1) ? ModelSizeClass.LARGE : ModelSizeClass.SMALL, 2 * this.shape.memoryTokens(),
				Math.round(objective));
		if (this.policy.asks() && task.slowdown() > 1) {
			this.largePrompts++;
			ask(this.nodes.get(node), task);
		}
		ReplicaChoice choice = this.nodes.get(node)
			.chooseReplica(Math.round(this.time.now()), this.rack.replicas(), Set.of(), task)
			.orElseThrow();
		Sent sent = new Sent(node, choice, task, this.time.now(), objective);
		EngineJob job = new EngineJob(model.name(), model.pace(), prompt.parts(), output, sent);
		sent.engine = engine(sent, job);
		if (this.policy.picks()) {
			this.nodes.get(node).onSent(Math.round(this.time.now()), choice, task);
		}
		this.outstanding.get(node)[sent.engine]++;
		this.rack.engine(sent.engine).take(job);
	}

	/**
	 * Has a node learn the load of engines before it picks one.
	 */
	private void ask(ReplicaSelector picker, ReplicaTask task) {
		long now = Math.round(this.time.now());
		List<Replica> asking = (this.policy == Policy.ASKING)
				? picker.bestChoices(now, this.rack.replicas(), Set.of(), task, ASKED)
					.stream()
					.map(ReplicaChoice::replica)
					.toList()
				: picker.replicasToQuery(now, this.rack.replicas(), Set.of(), task);
		for (Replica each : asking) {
			this.rack.tell(picker, each);
			this.asked++;
		}
	}

	private int engine(Sent sent, EngineJob job) {
		int[] own = this.outstanding.get(sent.node);
		return switch (this.policy) {
			case GULLSADDLE, ASKING, ASKING_IF_OLD -> this.numbers.get(sent.choice.replica().id());
			case RANDOM -> this.random.nextInt(this.rack.replicas().size());
			case LEAST_REQUESTS -> least((i) -> own[i]);
			case ORACLE -> least((i) -> this.rack.engine(i).expectedFirstMillis(job));
		};
	}

	private int least(IntToDoubleFunction cost) {
		return IntStream.range(0, this.rack.replicas().size())
			.boxed()
			.min(Comparator.comparingDouble(cost::applyAsDouble))
			.orElseThrow();
	}

	/**
	 * Returns the part of all requests whose first token came within the objective.
	 */
	double inTime() {
		return (double) this.inTime / this.arrived;
	}

	/**
	 * Returns the part of the requests that were told to be in time with a chance of
	 * {@link #LIKELY} or more for which that came true.
	 */
	double promisesKept() {
		return (double) this.promisedInTime / this.promised;
	}

	/**
	 * Returns the part of all requests that were told to be in time.
	 */
	double promised() {
		return (double) this.promised / this.arrived;
	}

	/**
	 * Returns how many reports were asked for.
	 */
	int asked() {
		return this.asked;
	}

	/**
	 * Returns for how many prompts engines were asked.
	 */
	int largePrompts() {
		return this.largePrompts;
	}

	Histogram first() {
		return this.first;
	}

	long readTokens() {
		return this.rack.readTokens();
	}

	/**
	 * How an engine is picked.
	 */
	enum Policy {

		/** By the router's own picker. */
		GULLSADDLE,

		/** By the same, after the best few engines were asked for their load. */
		ASKING,

		/** By the same, after those of them were asked that told nothing lately. */
		ASKING_IF_OLD,

		/** Any one. */
		RANDOM,

		/** That with the fewest requests of the same node. */
		LEAST_REQUESTS,

		/** That which will give the first token soonest, by what it knows itself. */
		ORACLE;

		boolean picks() {
			return this == GULLSADDLE || asks();
		}

		boolean asks() {
			return this == ASKING || this == ASKING_IF_OLD;
		}

	}

	/**
	 * One request under way.
	 */
	private final class Sent implements EngineJob.Listener {

		private final int node;

		private final ReplicaChoice choice;

		private final ReplicaTask task;

		private final double arrivedAt;

		private final double objective;

		private int engine;

		Sent(int node, ReplicaChoice choice, ReplicaTask task, double arrivedAt, double objective) {
			this.node = node;
			this.choice = choice;
			this.task = task;
			this.arrivedAt = arrivedAt;
			this.objective = objective;
		}

		@Override
		public void first(double now) {
			EngineFleet.this.first.recordValue(Math.round(now - this.arrivedAt));
			boolean kept = now - this.arrivedAt <= this.objective;
			EngineFleet.this.inTime += kept ? 1 : 0;
			if (this.choice.delay().probabilityWithin(this.objective) >= LIKELY) {
				EngineFleet.this.promised++;
				EngineFleet.this.promisedInTime += kept ? 1 : 0;
			}
			if (EngineFleet.this.policy.picks()) {
				ReplicaSelector picker = EngineFleet.this.nodes.get(this.node);
				picker.onPromptRead(this.choice, this.task);
				picker.recordFirstEventDelay(this.choice, this.task, Math.round(now - this.arrivedAt), true);
				picker.onLoadReport(Math.round(now), this.choice.replica(),
						EngineFleet.this.reports.get(this.choice.replica().id()));
				int requests = EngineFleet.this.rack.engine(this.engine).requests();
				EngineFleet.this.time.at(now + REPORT_MILLIS, () -> EngineFleet.this.reports
					.put(this.choice.replica().id(), new LoadReport(requests, 0, EngineFleet.this.shape.slots())));
			}
		}

		@Override
		public void ended() {
			EngineFleet.this.outstanding.get(this.node)[this.engine]--;
			if (EngineFleet.this.policy.picks()) {
				EngineFleet.this.nodes.get(this.node)
					.onAttemptEnded(Math.round(EngineFleet.this.time.now()), this.choice, new AttemptEnd.Answered(OK));
			}
		}

	}

}
