package org.gullsaddle.fuzz;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.gullsaddle.agent.HeldLines;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.AttemptRecord;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.LedgerWriter;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.register.Entry;
import org.gullsaddle.register.Operation;
import org.gullsaddle.register.RegisterAction;
import org.gullsaddle.register.RegisterEvent;
import org.gullsaddle.register.RegisterShard;
import org.gullsaddle.route.CallOutcome;
import org.gullsaddle.route.ClaimResult;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.Router;
import org.gullsaddle.route.RouterAction;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.route.RouterSettings;
import org.gullsaddle.suspect.SuspectContent;

/**
 * An entry's core with the thinnest wiring: actions go to the world's queues.
 */
final class FuzzEntry {

	private static final long DAY_MILLIS = 86_400_000;

	private static final long OPERATION_MILLIS = 1500;

	final NodeId id;

	final LedgerWriter ledger;

	private final World world;

	private final String run;

	private final Router router;

	private final RegisterShard claims = new RegisterShard(1000, DAY_MILLIS);

	private final RegisterShard pins = new RegisterShard(1000, DAY_MILLIS);

	private final Map<Long, Consumer<RegisterAction>> waiting = new HashMap<>();

	private final HeldLines copies = new HeldLines(2000);

	private final Map<RequestId, Mine> mine = new HashMap<>();

	private final Map<RequestId, Set<NodeId>> holders = new HashMap<>();

	private final Set<String> heard = new HashSet<>();

	private final Queue<RouterEvent> events = new ArrayDeque<>();

	private long operations;

	private boolean handling;

	private boolean flushing;

	private boolean dead;

	FuzzEntry(World world, NodeId id, String run, long seed) {
		this.world = world;
		this.id = id;
		this.run = run;
		this.ledger = new LedgerWriter(run, 1000);
		this.router = new Router(
				RouterSettings.builder("west", "west-1").spotCheckRatio(0.2).attemptEndTimeoutMillis(5000).build(),
				new Random(seed));
	}

	void die() {
		this.dead = true;
		this.world.oracle.died(this.run);
	}

	boolean dead() {
		return this.dead;
	}

	List<SuspectContent> suspects() {
		return this.router.suspects();
	}

	int open() {
		return this.router.openRequestCount();
	}

	/**
	 * Says whether word of a crash of this content has reached this entry.
	 */
	boolean heard(String content) {
		return this.heard.contains(content);
	}

	void submit(IncomingRequest request) {
		handle(new RouterEvent.RequestArrived(request));
	}

	void handle(RouterEvent event) {
		if (this.dead) {
			return;
		}
		if (event instanceof RouterEvent.SuspectAnnounced learned) {
			this.heard.add(learned.suspicion().fingerprint().value().replace('_', ' '));
		}
		this.events.add(event);
		if (this.handling) {
			return;
		}
		this.handling = true;
		while (!this.events.isEmpty()) {
			for (RouterAction action : this.router.handle(this.world.now(), this.events.poll())) {
				carryOut(action);
			}
		}
		this.handling = false;
	}

	void hold(AgentRecord line) {
		this.copies.hold(line, this.world.now().millis());
		this.world.oracle.heldBy(line.line().attempt().request().value(), this.run);
	}

	void release(RequestId request) {
		this.copies.onRecorded(List.of(request));
	}

	void writeAll() {
		this.copies.takeAll().forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
	}

	void tick() {
		if (this.dead) {
			return;
		}
		for (AgentRecord line : this.copies.takeDue(this.world.now().millis(), this.world.entries())) {
			this.ledger.append(new LedgerEntry.AttemptEntry(line));
		}
		handle(new RouterEvent.Tick());
		register("claims", this.claims, new RegisterEvent.Tick());
		register("pins", this.pins, new RegisterEvent.Tick());
		flush();
	}

	void flush() {
		Segment segment = this.ledger.nextSegment().orElse(null);
		if (segment == null || this.flushing || this.dead) {
			return;
		}
		this.flushing = true;
		String key = "ledger/" + this.run + "/" + segment.sequence();
		this.world.store.write(key, 0, segment, (result) -> {
			this.flushing = false;
			boolean there = this.world.store.get(key) != null && result instanceof FaultyStore.Result.Conflict;
			if (!this.dead && (result instanceof FaultyStore.Result.Written || there)) {
				recorded(this.ledger.onWritten());
			}
		});
	}

	private void recorded(List<RequestId> requests) {
		for (RequestId request : requests) {
			for (NodeId agent : this.holders.getOrDefault(request, Set.of())) {
				this.world.toAgent(this.id, agent, new Message.Recorded(request));
			}
			this.holders.remove(request);
			handle(new RouterEvent.RecordStored(request));
		}
	}

	private void carryOut(RouterAction action) {
		switch (action) {
			case RouterAction.Claim claim -> claim(claim);
			case RouterAction.CompleteClaim settle -> {
				Mine claimed = this.mine.remove(settle.request());
				submit(new Operation.Update(key(settle), claimed.nonce(),
						Kept.write(claimed.content(), settle.outcome())), Long.MAX_VALUE, (answer) -> {
						});
			}
			case RouterAction.ReleaseClaim release -> {
				Mine claimed = this.mine.remove(release.request());
				if (claimed != null) {
					submit(new Operation.Remove(release.team() + "/" + release.key(), claimed.nonce()), Long.MAX_VALUE,
							(answer) -> {
							});
				}
			}
			case RouterAction.PinSession pin -> pin(pin);
			case RouterAction.Send send -> {
				if (!this.world.toAgent(this.id, send.agent(), new Message.Dispatched(send.dispatch()))) {
					handle(new RouterEvent.AttemptFailed(send.dispatch().attempt(), Verdict.NOT_RUN, false,
							Usage.NONE));
				}
			}
			case RouterAction.Cancel cancel ->
				this.world.toAgent(this.id, cancel.agent(), new Message.Cancel(cancel.attempt()));
			case RouterAction.Deliver deliver -> deliver(deliver);
			case RouterAction.Complete complete ->
				this.world.oracle.completed(complete.request().value(), complete.servedBy());
			case RouterAction.Refuse refuse -> refuse(refuse);
			case RouterAction.RateAnswer rate -> this.world.rate(this, rate);
			case RouterAction.AnnounceSuspect suspect -> this.world.suspect(this.id, suspect.suspicion());
			case RouterAction.AnnounceHalt announce -> this.world.halted(this.id, announce.halt());
			case RouterAction.WriteRecordBeforeAnswer keep -> keep(keep.record());
			case RouterAction.WriteRecord record -> {
				Set<NodeId> agents = new HashSet<>();
				record.record().attempts().stream().map(AttemptRecord::agent).forEach(agents::add);
				this.holders.put(record.record().request(), agents);
				if (this.world.plant != Plant.RECORDS_ARE_LOST) {
					this.ledger.append(new LedgerEntry.RequestEntry(record.record()));
				}
				this.world.oracle.heldBy(record.record().request().value(), this.run);
			}
		}
	}

	/**
	 * A planted entry says that the store has the record, and writes none.
	 */
	private void keep(RequestRecord record) {
		if (this.world.plant == Plant.RECORDS_ARE_LOST) {
			handle(new RouterEvent.RecordStored(record.request()));
		}
		else {
			this.ledger.append(new LedgerEntry.RequestEntry(record));
		}
	}

	private void deliver(RouterAction.Deliver deliver) {
		int times = (this.world.plant == Plant.PARTS_ARE_DOUBLED) ? 2 : 1;
		for (int i = 0; i < times; i++) {
			this.world.oracle.delivered(deliver.request().value(), deliver.version().toString(), deliver.text());
		}
	}

	private void refuse(RouterAction.Refuse refuse) {
		int times = (this.world.plant == Plant.REFUSALS_ARE_DOUBLED) ? 2 : 1;
		for (int i = 0; i < times; i++) {
			this.world.oracle.refused(refuse.request().value(), refuse.refusal().verdict().toString());
		}
	}

	private void claim(RouterAction.Claim claim) {
		String nonce = this.run + "-" + this.operations;
		this.mine.put(claim.request(), new Mine(nonce, claim.content()));
		submit(new Operation.Put(claim.team() + "/" + claim.key(), nonce, Kept.write(claim.content(), null)),
				OPERATION_MILLIS, (answer) -> {
					ClaimResult result = (answer instanceof RegisterAction.Answer found && found.entry() != null)
							? Kept.read(found.entry(), nonce, claim.content()) : new ClaimResult.Unavailable();
					if (this.world.plant == Plant.CLAIMS_ALWAYS_GRANTED) {
						result = new ClaimResult.Granted();
					}
					if (!(result instanceof ClaimResult.Granted)) {
						this.mine.remove(claim.request());
					}
					handle(new RouterEvent.ClaimCompleted(claim.request(), result));
				});
	}

	private void pin(RouterAction.PinSession pin) {
		String name = pin.team() + "/" + pin.session();
		String nonce = this.run + "-" + this.operations;
		String value = pin.proposed().toString();
		Operation operation = (pin.replaced() != null)
				? new Operation.Replace(name, nonce, value, pin.replaced().toString())
				: new Operation.Put(name, nonce, value);
		submit(operation, OPERATION_MILLIS, (answer) -> {
			if (this.world.plant == Plant.PINS_ARE_NOT_KEPT) {
				handle(new RouterEvent.PinCompleted(pin.request(), Optional.of(pin.proposed())));
				return;
			}
			Optional<ModelVersion> version = (answer instanceof RegisterAction.Answer found && found.entry() != null)
					? Optional.of(ModelVersion.of(found.entry().value())) : Optional.empty();
			handle(new RouterEvent.PinCompleted(pin.request(), version));
		});
	}

	private void submit(Operation operation, long within, Consumer<RegisterAction> then) {
		boolean isPin = operation.key().contains("session");
		this.operations++;
		this.waiting.put(this.operations, then);
		long deadline = (within == Long.MAX_VALUE) ? Long.MAX_VALUE : this.world.now().millis() + within;
		register(isPin ? "pins" : "claims", isPin ? this.pins : this.claims,
				new RegisterEvent.Submitted(this.operations, operation, deadline));
	}

	private void register(String name, RegisterShard shard, RegisterEvent event) {
		if (this.dead) {
			return;
		}
		long now = this.world.now().millis();
		for (RegisterAction action : shard.handle(now, now, event)) {
			switch (action) {
				case RegisterAction.Read read -> this.world.store.read(name,
						(result) -> register(name, shard, (result instanceof FaultyStore.Result.Failed)
								? new RegisterEvent.ReadFailed() : event(result)));
				case RegisterAction.Write write -> this.world.store.write(name, write.expectedRevision(),
						write.entries(), (result) -> register(name, shard, event(result)));
				case RegisterAction.Answer answer -> this.waiting.remove(answer.id()).accept(answer);
				case RegisterAction.Unavailable gone -> this.waiting.remove(gone.id()).accept(gone);
			}
		}
	}

	@SuppressWarnings("unchecked")
	private static RegisterEvent event(FaultyStore.Result result) {
		return switch (result) {
			case FaultyStore.Result.Read read -> new RegisterEvent.Loaded(read.revision(),
					(read.content() != null) ? (List<Entry>) read.content() : new ArrayList<>());
			case FaultyStore.Result.Written written -> new RegisterEvent.Written(written.revision());
			case FaultyStore.Result.Conflict conflict -> new RegisterEvent.Conflicted();
			case FaultyStore.Result.Failed failed -> new RegisterEvent.WriteUnknown();
		};
	}

	private static String key(RouterAction.CompleteClaim settle) {
		return settle.team() + "/" + settle.key();
	}

	void rated(AttemptId attempt, OptionalDouble score) {
		handle(new RouterEvent.AnswerRated(attempt, score));
	}

	private record Mine(String nonce, Fingerprint content) {
	}

	/**
	 * The value of a claim: its content and, once settled, its answer.
	 */
	private static final class Kept {

		private static final String SETTLED = "=";

		static String write(Fingerprint content, CallOutcome outcome) {
			return (outcome != null) ? content.value() + SETTLED + outcome.request() + SETTLED + outcome.servedBy()
					+ SETTLED + outcome.text() : content.value();
		}

		static ClaimResult read(Entry entry, String nonce, Fingerprint content) {
			if (entry.nonce().equals(nonce)) {
				return new ClaimResult.Granted();
			}
			String[] parts = entry.value().split(SETTLED);
			if (!parts[0].equals(content.value())) {
				return new ClaimResult.ContentDiffers();
			}
			return (parts.length == 1) ? new ClaimResult.InUse()
					: new ClaimResult.Finished(new CallOutcome(new RequestId(parts[1]), parts[2],
							new Completion(200, "text/plain", "", Usage.NONE), parts[3]));
		}

	}

}
