package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import org.gullsaddle.fleet.ModelSize;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.ModelSelector;
import org.gullsaddle.serve.ModelSlowdown;
import org.gullsaddle.serve.Prompt;
import org.gullsaddle.serve.QueueBounds;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.ReplicaSelector;
import org.gullsaddle.serve.ReplicaTask;

/**
 * Nodes that serve prompts by cascades of three models on shared engines, with the
 * router's own choice of models and of engines. What an answer is worth and how hard a
 * request is only the fleet knows.
 */
final class CascadeFleet {

	private static final int OK = 200;

	/** How old a load report is, in milliseconds. */
	private static final double REPORT_MILLIS = 200;

	/** What a poor answer earns, as a part of a good one. */
	private static final double POOR = 0.05;

	/** What a late answer earns, as a part of one in time. */
	private static final double LATE = 0.5;

	/** How far models' opinions of their answers are off, as a standard deviation. */
	private static final double OPINION_NOISE = 10;

	private static final double EVEN = 50;

	private static final double PERCENT = 100;

	/** How many tokens read cost as much as one that is generated. */
	private static final double READ_PER_GENERATED = 4;

	private static final double PRICE_TOKENS = 1000;

	private static final List<Model> MODELS = List.of(new Model("m0", 0.3, 0.54, 0.0082),
			new Model("m1", 0.8, 0.64, 0.061), new Model("m2", 3, 1, 0.12));

	private static final List<ModelSize> SIZES = MODELS.stream()
		.map((model) -> new ModelSize(model.name, model.cost))
		.toList();

	static final List<String> MODEL_NAMES = MODELS.stream().map(Model::name).toList();

	private final Timeline time;

	private final Random random;

	private final EngineShape shape;

	private final EngineRack rack;

	private final List<Node> nodes = new ArrayList<>();

	private final Map<String, Tally> tallies = new HashMap<>();

	private final QueueBounds bounds;

	private double price;

	/**
	 * Makes a fleet of engines behind some nodes, which take room for usual.
	 */
	CascadeFleet(Timeline time, int nodes, List<EngineShape> shapes, long seed) {
		this(time, shapes, seed, List.of());
		for (int i = 0; i < nodes; i++) {
			this.nodes.add(new Node(new ReplicaSelector(EngineRack.PLACE), new ModelSelector()));
		}
	}

	private CascadeFleet(Timeline time, List<EngineShape> shapes, long seed, List<PromptKind> kinds) {
		this.time = time;
		this.random = new Random(seed);
		this.shape = shapes.get(0);
		this.rack = new EngineRack(time, shapes, REPORT_MILLIS);
		this.bounds = QueueBounds.of(kinds.stream().map(PromptKind::route).toList());
	}

	/**
	 * Makes a fleet whose nodes know that kinds of prompts compete for too little room.
	 */
	static CascadeFleet withLittleRoom(Timeline time, int nodes, List<EngineShape> shapes, long seed,
			List<PromptKind> kinds) {
		CascadeFleet fleet = new CascadeFleet(time, shapes, seed, kinds);
		for (int i = 0; i < nodes; i++) {
			ReplicaSelector picker = new ReplicaSelector(EngineRack.PLACE);
			picker.separateModelSizes();
			fleet.nodes.add(new Node(picker, ModelSelector.withQueueBounds()));
		}
		return fleet;
	}

	/**
	 * Loses some engines now, with all that they run.
	 */
	void loseEngines(int count) {
		this.rack.lose(count);
	}

	/**
	 * Lets a request arrive now at any node.
	 */
	void arrive(PromptKind kind, Prompt prompt, int output) {
		Node node = this.nodes.get(this.random.nextInt(this.nodes.size()));
		tally(kind).owed += kind.worth();
		new Request(node, kind, prompt, output).send(0);
	}

	private Tally tally(PromptKind kind) {
		return this.tallies.computeIfAbsent(kind.name(), (name) -> new Tally());
	}

	/**
	 * Returns the part of what all answers could earn that was earned.
	 */
	double earned() {
		return this.tallies.values().stream().mapToDouble((tally) -> tally.earned).sum() / owed();
	}

	/**
	 * Returns the part of what a kind's answers could earn that was earned.
	 */
	double earned(PromptKind kind) {
		return tally(kind).earned / tally(kind).owed;
	}

	/**
	 * Returns the part of the answers to requests of some time that began in time.
	 * @param kinds the kinds that count
	 * @param from the time of the first requests, in milliseconds
	 * @param to the time after the last ones, in milliseconds
	 */
	double inTime(List<PromptKind> kinds, double from, double to) {
		List<Begun> begun = kinds.stream()
			.flatMap((kind) -> tally(kind).begun.stream())
			.filter((each) -> each.arrivedAt >= from && each.arrivedAt < to)
			.toList();
		return begun.stream().filter(Begun::inTime).count() / (double) begun.size();
	}

	/**
	 * Returns what the use of models cost, as a part of what all answers could earn.
	 */
	double price() {
		return this.price / owed();
	}

	private double owed() {
		return this.tallies.values().stream().mapToDouble((tally) -> tally.owed).sum();
	}

	private record Model(String name, double pace, double quality, double cost) {
	}

	private record Node(ReplicaSelector picker, ModelSelector models) {
	}

	/**
	 * What answers of one kind earned, and could have.
	 */
	private static final class Tally {

		private double earned;

		private double owed;

		private final List<Begun> begun = new ArrayList<>();

	}

	/**
	 * When the request of an answer came, and whether the answer began in time.
	 */
	private record Begun(double arrivedAt, boolean inTime) {
	}

	/**
	 * One request, over the models that it goes through.
	 */
	private final class Request {

		private final Node node;

		private final PromptKind kind;

		private final Prompt prompt;

		private final int output;

		private final double hardness = CascadeFleet.this.random.nextDouble();

		private final double arrivedAt = CascadeFleet.this.time.now();

		private int dropped = -1;

		private int droppedConfidence;

		Request(Node node, PromptKind kind, Prompt prompt, int output) {
			this.node = node;
			this.kind = kind;
			this.prompt = prompt;
			this.output = output;
		}

		void send(int model) {
			send(model, choose(model));
		}

		private void send(int model, ReplicaChoice choice) {
			new Answer(this, model, choice).begin();
		}

		private ReplicaTask task(int model) {
			String name = MODELS.get(model).name;
			return new ReplicaTask(name, this.prompt, ModelSlowdown.of(name, SIZES),
					ModelSlowdown.sizeClass(name, SIZES), 2 * CascadeFleet.this.shape.memoryTokens(),
					this.kind.route().targetMillis());
		}

		private ReplicaChoice choose(int model) {
			long now = Math.round(CascadeFleet.this.time.now());
			ReplicaTask task = task(model);
			List<Replica> all = CascadeFleet.this.rack.replicas();
			this.node.picker.replicasToQuery(now, all, Set.of(), task)
				.forEach((replica) -> CascadeFleet.this.rack.tell(this.node.picker, replica));
			return this.node.picker.chooseReplica(now, all, Set.of(), task).orElseThrow();
		}

		private int opinion(int model) {
			double sure = EVEN + PERCENT * (MODELS.get(model).quality - this.hardness);
			return (int) Math.clamp(sure + OPINION_NOISE * CascadeFleet.this.random.nextGaussian(), 0, PERCENT);
		}

		/**
		 * Returns the model that is asked in place of an answer, or -1 if the answer is
		 * kept.
		 */
		private int replacement(Answer answer, int confidence) {
			if (this.dropped >= 0) {
				this.node.models.recordComparison(MODELS.get(this.dropped).name, this.droppedConfidence,
						MODELS.get(answer.model).name, confidence);
			}
			return this.node.models
				.findLargerModel(this.kind.route(), MODELS.get(answer.model).name, OptionalInt.of(confidence),
						this.dropped >= 0)
				.map(MODEL_NAMES::indexOf)
				.orElse(-1);
		}

		private boolean worthAsking(int confidence, ReplicaChoice larger, long left) {
			ModelSelector models = this.node.models;
			Route route = this.kind.route();
			return models.hasQueueBounds()
					? models.canJoinQueue(CascadeFleet.this.bounds, route.rankFor(OptionalInt.empty()), larger, left)
					: models.isWorthAsking(route, confidence, larger.delay(), left);
		}

		private long left() {
			return Math.round(this.kind.route().timeoutMillis() - (CascadeFleet.this.time.now() - this.arrivedAt));
		}

		void earn(int model) {
			double waited = CascadeFleet.this.time.now() - this.arrivedAt;
			if (waited > this.kind.route().timeoutMillis()) {
				return;
			}
			tally(this.kind).begun.add(new Begun(this.arrivedAt, waited <= this.kind.route().targetMillis()));
			double worth = this.kind.worth();
			worth *= (waited <= this.kind.route().targetMillis()) ? 1 : LATE;
			worth *= (this.hardness <= MODELS.get(model).quality) ? 1 : POOR;
			tally(this.kind).earned += worth;
		}

	}

	/**
	 * One model's answer.
	 */
	private final class Answer implements EngineJob.Listener {

		private final Request request;

		private final int model;

		private final ReplicaChoice choice;

		private final ReplicaTask task;

		private final double sentAt = CascadeFleet.this.time.now();

		private EngineJob job;

		private boolean droppedAnswer;

		private double firstMillis;

		Answer(Request request, int model, ReplicaChoice choice) {
			this.request = request;
			this.model = model;
			this.choice = choice;
			this.task = request.task(model);
		}

		void begin() {
			Model running = MODELS.get(this.model);
			picker().onSent(Math.round(this.sentAt), this.choice, this.task);
			this.job = new EngineJob(running.name, running.pace, this.request.prompt.parts(), this.request.output,
					this);
			engine().take(this.job);
			CascadeFleet.this.price += running.cost * this.choice.unreadTokens() / READ_PER_GENERATED / PRICE_TOKENS;
		}

		private ReplicaSelector picker() {
			return this.request.node.picker;
		}

		private EngineModel engine() {
			return CascadeFleet.this.rack.engine(this.choice.replica());
		}

		@Override
		public void first(double now) {
			this.firstMillis = now - this.sentAt;
			picker().onPromptRead(this.choice, this.task);
			picker().recordFirstEventDelay(this.choice, this.task, Math.round(this.firstMillis), true);
			int confidence = this.request.opinion(this.model);
			int next = this.request.replacement(this, confidence);
			if (next >= 0 && replace(confidence, next)) {
				return;
			}
			this.request.earn(this.model);
			CascadeFleet.this.price += MODELS.get(this.model).cost * this.request.output / PRICE_TOKENS;
		}

		private boolean replace(int confidence, int next) {
			ReplicaChoice larger = this.request.choose(next);
			long left = this.request.left();
			if (!this.request.worthAsking(confidence, larger, left)) {
				return false;
			}
			this.droppedAnswer = true;
			engine().drop(this.job);
			picker().onAttemptEnded(Math.round(CascadeFleet.this.time.now()), this.choice,
					new AttemptEnd.Dropped(confidence));
			this.request.dropped = this.model;
			this.request.droppedConfidence = confidence;
			this.request.send(next, larger);
			return true;
		}

		@Override
		public void ended() {
			if (this.droppedAnswer) {
				return;
			}
			picker().onAttemptEnded(Math.round(CascadeFleet.this.time.now()), this.choice, new AttemptEnd.Answered(OK));
			this.request.node.models.recordAnswer(this.request.kind.route(), MODELS.get(this.model).name,
					Math.round(this.firstMillis), 0);
		}

	}

}
