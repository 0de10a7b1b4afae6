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
 * An entry's core with minimal wiring: its actions go to the queues of the simulated
 * cluster.
 */
final class FuzzEntry {

	private static final long DAY_MILLIS = 86_400_000;

	private static final long OPERATION_TIMEOUT_MILLIS = 1500;

	final NodeId id;

	final LedgerWriter ledger;

	private final SimulatedCluster world;

	private final String run;

	private final Router router;

	private final RegisterShard claims = new RegisterShard(1000, DAY_MILLIS);

	private final RegisterShard pins = new RegisterShard(1000, DAY_MILLIS);

	private final Map<Long, Consumer<RegisterAction>> callbacks = new HashMap<>();

	private final HeldLines heldCopies = new HeldLines(2000);

	private final Map<RequestId, OpenClaim> openClaims = new HashMap<>();

	private final Map<RequestId, Set<NodeId>> holders = new HashMap<>();

	private final Set<String> crashingContents = new HashSet<>();

	private final Queue<RouterEvent> events = new ArrayDeque<>();

	private long operations;

	private boolean handling;

	private boolean flushing;

	private boolean dead;

	FuzzEntry(SimulatedCluster world, NodeId id, String run, long seed) {
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
		this.world.oracle.onRunDied(this.run);
	}

	boolean isDead() {
		return this.dead;
	}

	List<SuspectContent> suspects() {
		return this.router.suspects();
	}

	int openRequestCount() {
		return this.router.openRequestCount();
	}

	/**
	 * Returns whether a report of a crash by this content has reached this entry.
	 */
	boolean isCrashKnown(String content) {
		return this.crashingContents.contains(content);
	}

	void submit(IncomingRequest request) {
		handle(new RouterEvent.RequestArrived(request));
	}

	void handle(RouterEvent event) {
		if (this.dead) {
			return;
		}
		if (event instanceof RouterEvent.SuspectAnnounced learned) {
			this.crashingContents.add(learned.suspicion().fingerprint().value().replace('_', ' '));
		}
		this.events.add(event);
		if (this.handling) {
			return;
		}
		this.handling = true;
		while (!this.events.isEmpty()) {
			for (RouterAction action : this.router.handle(this.world.now(), this.events.poll())) {
				execute(action);
			}
		}
		this.handling = false;
	}

	void onCopyReceived(AgentRecord line) {
		this.heldCopies.hold(line, this.world.now().millis());
		this.world.oracle.onRecordHeld(line.line().attempt().request().value(), this.run);
	}

	void onRelease(RequestId request) {
		this.heldCopies.onRecorded(List.of(request));
	}

	void writeHeldCopies() {
		this.heldCopies.takeAll().forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
	}

	void onTick() {
		if (this.dead) {
			return;
		}
		for (AgentRecord line : this.heldCopies.takeDue(this.world.now().millis(), this.world.entries())) {
			this.ledger.append(new LedgerEntry.AttemptEntry(line));
		}
		handle(new RouterEvent.Tick());
		handleRegisterEvent("claims", this.claims, new RegisterEvent.Tick());
		handleRegisterEvent("pins", this.pins, new RegisterEvent.Tick());
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
				onRecordsStored(this.ledger.onWritten());
			}
		});
	}

	private void onRecordsStored(List<RequestId> requests) {
		for (RequestId request : requests) {
			for (NodeId agent : this.holders.getOrDefault(request, Set.of())) {
				this.world.sendToAgent(this.id, agent, new Message.Recorded(request));
			}
			this.holders.remove(request);
			handle(new RouterEvent.RecordStored(request));
		}
	}

	private void execute(RouterAction action) {
		switch (action) {
			case RouterAction.Claim claim -> claim(claim);
			case RouterAction.CompleteClaim settle -> {
				OpenClaim claimed = this.openClaims.remove(settle.request());
				submit(new Operation.Update(claimKey(settle), claimed.nonce(),
						ClaimValue.write(claimed.content(), settle.outcome())), Long.MAX_VALUE, (answer) -> {
						});
			}
			case RouterAction.ReleaseClaim release -> {
				OpenClaim claimed = this.openClaims.remove(release.request());
				if (claimed != null) {
					submit(new Operation.Remove(release.team() + "/" + release.key(), claimed.nonce()), Long.MAX_VALUE,
							(answer) -> {
							});
				}
			}
			case RouterAction.PinSession pin -> pin(pin);
			case RouterAction.Send send -> {
				if (!this.world.sendToAgent(this.id, send.agent(), new Message.Dispatched(send.dispatch()))) {
					handle(new RouterEvent.AttemptFailed(send.dispatch().attempt(), Verdict.NOT_RUN, false,
							Usage.NONE));
				}
			}
			case RouterAction.Cancel cancel ->
				this.world.sendToAgent(this.id, cancel.agent(), new Message.Cancel(cancel.attempt()));
			case RouterAction.Deliver deliver -> deliver(deliver);
			case RouterAction.Complete complete ->
				this.world.oracle.onCompleted(complete.request().value(), complete.servedBy());
			case RouterAction.Refuse refuse -> refuse(refuse);
			case RouterAction.RateAnswer rate -> this.world.scheduleRating(this, rate);
			case RouterAction.AnnounceSuspect suspect ->
				this.world.announceSuspectToPeers(this.id, suspect.suspicion());
			case RouterAction.AnnounceHalt announce -> this.world.announceHalt(this.id, announce.halt());
			case RouterAction.WriteRecordBeforeAnswer keep -> writeRecordBeforeAnswer(keep.record());
			case RouterAction.WriteRecord record -> {
				Set<NodeId> agents = new HashSet<>();
				record.record().attempts().stream().map(AttemptRecord::agent).forEach(agents::add);
				this.holders.put(record.record().request(), agents);
				if (this.world.plantedFault != PlantedFault.RECORDS_LOST) {
					this.ledger.append(new LedgerEntry.RequestEntry(record.record()));
				}
				this.world.oracle.onRecordHeld(record.record().request().value(), this.run);
			}
		}
	}

	/**
	 * Writes the record before its answer. With the planted fault it reports the record
	 * as stored without writing it.
	 */
	private void writeRecordBeforeAnswer(RequestRecord record) {
		if (this.world.plantedFault == PlantedFault.RECORDS_LOST) {
			handle(new RouterEvent.RecordStored(record.request()));
		}
		else {
			this.ledger.append(new LedgerEntry.RequestEntry(record));
		}
	}

	private void deliver(RouterAction.Deliver deliver) {
		int times = (this.world.plantedFault == PlantedFault.CHUNKS_DUPLICATED) ? 2 : 1;
		for (int i = 0; i < times; i++) {
			this.world.oracle.onChunkDelivered(deliver.request().value(), deliver.version().toString(), deliver.text());
		}
	}

	private void refuse(RouterAction.Refuse refuse) {
		int times = (this.world.plantedFault == PlantedFault.REFUSALS_DUPLICATED) ? 2 : 1;
		for (int i = 0; i < times; i++) {
			this.world.oracle.onRefused(refuse.request().value(), refuse.refusal().verdict().toString());
		}
	}

	private void claim(RouterAction.Claim claim) {
		String nonce = this.run + "-" + this.operations;
		this.openClaims.put(claim.request(), new OpenClaim(nonce, claim.content()));
		submit(new Operation.Put(claim.team() + "/" + claim.key(), nonce, ClaimValue.write(claim.content(), null)),
				OPERATION_TIMEOUT_MILLIS, (answer) -> {
					ClaimResult result = (answer instanceof RegisterAction.Answer found && found.entry() != null)
							? ClaimValue.read(found.entry(), nonce, claim.content()) : new ClaimResult.Unavailable();
					if (this.world.plantedFault == PlantedFault.CLAIMS_ALWAYS_GRANTED) {
						result = new ClaimResult.Granted();
					}
					if (!(result instanceof ClaimResult.Granted)) {
						this.openClaims.remove(claim.request());
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
		submit(operation, OPERATION_TIMEOUT_MILLIS, (answer) -> {
			if (this.world.plantedFault == PlantedFault.SESSION_PINS_IGNORED) {
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
		this.callbacks.put(this.operations, then);
		long deadline = (within == Long.MAX_VALUE) ? Long.MAX_VALUE : this.world.now().millis() + within;
		handleRegisterEvent(isPin ? "pins" : "claims", isPin ? this.pins : this.claims,
				new RegisterEvent.Submitted(this.operations, operation, deadline));
	}

	private void handleRegisterEvent(String name, RegisterShard shard, RegisterEvent event) {
		if (this.dead) {
			return;
		}
		long now = this.world.now().millis();
		for (RegisterAction action : shard.handle(now, now, event)) {
			switch (action) {
				case RegisterAction.Read read -> this.world.store.read(name,
						(result) -> handleRegisterEvent(name, shard, (result instanceof FaultyStore.Result.Failed)
								? new RegisterEvent.ReadFailed() : registerEvent(result)));
				case RegisterAction.Write write -> this.world.store.write(name, write.expectedRevision(),
						write.entries(), (result) -> handleRegisterEvent(name, shard, registerEvent(result)));
				case RegisterAction.Answer answer -> this.callbacks.remove(answer.id()).accept(answer);
				case RegisterAction.Unavailable gone -> this.callbacks.remove(gone.id()).accept(gone);
			}
		}
	}

	@SuppressWarnings("unchecked")
	private static RegisterEvent registerEvent(FaultyStore.Result result) {
		return switch (result) {
			case FaultyStore.Result.Read read -> new RegisterEvent.Loaded(read.revision(),
					(read.content() != null) ? (List<Entry>) read.content() : new ArrayList<>());
			case FaultyStore.Result.Written written -> new RegisterEvent.Written(written.revision());
			case FaultyStore.Result.Conflict conflict -> new RegisterEvent.Conflicted();
			case FaultyStore.Result.Failed failed -> new RegisterEvent.WriteUnknown();
		};
	}

	private static String claimKey(RouterAction.CompleteClaim settle) {
		return settle.team() + "/" + settle.key();
	}

	void onRated(AttemptId attempt, OptionalDouble score) {
		handle(new RouterEvent.AnswerRated(attempt, score));
	}

	private record OpenClaim(String nonce, Fingerprint content) {
	}

	/**
	 * The stored value of a claim: its content and, once completed, its answer.
	 */
	private static final class ClaimValue {

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
