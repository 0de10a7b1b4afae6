package org.gullsaddle.fuzz;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.gullsaddle.agent.Admission;
import org.gullsaddle.agent.AdmissionAction;
import org.gullsaddle.agent.AdmissionEvent;
import org.gullsaddle.agent.AdmissionSettings;
import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Usage;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.RouterAction;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionState;
import org.gullsaddle.yaml.YamlException;

/**
 * Simulates two entries, three agents and a store, with a queue for each link. Messages
 * and time advance only by steps, so that the steps determine every delay, order and
 * loss.
 */
class SimulatedCluster {

	static final TemplateName TEMPLATE = new TemplateName("t");

	private static final int MAX_SETTLING_ROUNDS = 20_000;

	private static final String TEMPLATE_YAML = """
			template: t
			kind: chat
			versions:
			  - {version: small@v1, quality: 0.8, price: {output: 1}}
			  - {version: large@v1, quality: 0.97, price: {output: 10}}
			  - {version: large@v2, quality: 0.97, share: 0.5, price: {output: 10}}
			teams:
			  gold: {qualityTarget: 0.85, rank: 5, requestsPerSecond: 100, concurrent: 100, dollarsPerDay: 100}
			  basic: {versions: [small@v1], rank: 1, requestsPerSecond: 100, concurrent: 100, dollarsPerDay: 100}
			""";

	final Oracle oracle = new Oracle();

	final FaultyStore store = new FaultyStore();

	private final Map<NodeId, FuzzEntry> entries = new LinkedHashMap<>();

	private final Map<NodeId, FuzzAgent> agents = new LinkedHashMap<>();

	private final Map<String, Link> links = new LinkedHashMap<>();

	private final Map<String, NodeId> entryByOpenRequest = new HashMap<>();

	private final List<Runnable> deferredActions = new ArrayList<>();

	private final List<TemplateRevision> revisions = new ArrayList<>();

	private long time = 1;

	private long stamp;

	private int sentRequests;

	private int startedRuns;

	private int faultCount;

	final PlantedFault plantedFault;

	SimulatedCluster() {
		this(PlantedFault.NONE);
	}

	SimulatedCluster(PlantedFault plant) {
		this.plantedFault = plant;
		try {
			Template template = Template.parse(TEMPLATE_YAML);
			this.revisions.add(new TemplateRevision(1, "c1", "ann", 0, TEMPLATE_YAML, template));
		}
		catch (YamlException ex) {
			throw new IllegalStateException(ex);
		}
		for (int i = 1; i <= 3; i++) {
			addAgent(new NodeId("agent-" + i));
		}
		for (int i = 1; i <= 2; i++) {
			addEntry(new NodeId("entry-" + i));
		}
	}

	/**
	 * Creates the admission under test; a test that plants a fault may override it.
	 */
	Admission createAdmission(AdmissionSettings settings) {
		return new Admission(settings);
	}

	static String expectedAnswer(String version, String body) {
		return version + " says: " + body.replace("poison", "p") + "!";
	}

	static Usage expectedUsage(String body) {
		return new Usage(10, 100L + body.length());
	}

	static long expectedCostMicros(String version, String body) {
		return expectedUsage(body).outputTokens() * (version.startsWith("small") ? 1 : 10);
	}

	Moment now() {
		this.stamp++;
		return new Moment(this.time, this.stamp);
	}

	int faultCount() {
		return this.faultCount;
	}

	// Operations of the steps.

	void send(int pick) {
		String team = (pick % 3 == 0) ? "basic" : "gold";
		this.sentRequests++;
		String id = "r" + this.sentRequests;
		FuzzEntry entry = pickFrom(this.entries, pick);
		String session = (pick % 5 == 1) ? "session-" + pick % 3 : null;
		String body = (pick % 23 == 0) ? "poison " + pick % 2 : "body " + pick;
		submitRequest(entry, id, team, session, null, body);
	}

	/**
	 * Sends an at-most-once call under one of four idempotency keys, so that many calls
	 * are repeated.
	 */
	void sendAtMostOnce(int pick) {
		this.sentRequests++;
		int key = pick % 4;
		submitRequest(pickFrom(this.entries, pick / 4), "r" + this.sentRequests, "gold", null, "key-" + key,
				"order " + key);
	}

	private void submitRequest(FuzzEntry entry, String id, String team, String session, String key, String body) {
		IncomingRequest.Builder builder = IncomingRequest.builder(new RequestId(id), new TeamId(team), TEMPLATE)
			.deadline(this.time + 3000)
			.fingerprint(new Fingerprint((team + "/" + body).replace(' ', '_')))
			.session((session != null) ? new SessionId(session) : null)
			.body(body);
		this.oracle.onRequestSent(id, team, session, key, body, entry.isCrashKnown(team + "/" + body));
		this.entryByOpenRequest.put(id, entry.id);
		entry.submit((key != null) ? builder.atMostOnce(key).build() : builder.build());
	}

	void disconnectCaller(int pick) {
		List<String> open = this.entryByOpenRequest.keySet().stream().sorted().toList();
		if (!open.isEmpty()) {
			String id = open.get(pick % open.size());
			FuzzEntry entry = this.entries.get(this.entryByOpenRequest.remove(id));
			this.oracle.onCallerLost(id);
			entry.handle(new RouterEvent.CallerDisconnected(new RequestId(id)));
		}
	}

	void deliver(int pick) {
		List<Link> busy = this.links.values().stream().filter(Link::isBusy).toList();
		if (!busy.isEmpty()) {
			busy.get(pick % busy.size()).deliver(pick);
		}
	}

	void endStoreCall(int pick, int fate) {
		this.faultCount += fate % 2;
		this.store.endCall(pick, fate);
	}

	void applyLateWrite(int pick) {
		this.faultCount++;
		this.store.applyLateWrite(pick);
	}

	void progressJob(int pick) {
		pickFrom(this.agents, pick).progress(pick / 3);
	}

	void failJob(int pick) {
		this.faultCount++;
		pickFrom(this.agents, pick).failJob(pick / 3);
	}

	void later(int pick) {
		if (!this.deferredActions.isEmpty()) {
			this.deferredActions.remove(pick % this.deferredActions.size()).run();
		}
	}

	void advance(int millis) {
		this.time += millis;
		this.entries.values().forEach(FuzzEntry::onTick);
		this.agents.values().forEach(FuzzAgent::onTick);
	}

	/**
	 * Advances the time for all nodes but one agent, which is paused and gets no tick.
	 */
	void advanceExceptOneAgent(int pick, int millis) {
		this.faultCount++;
		this.time += millis;
		NodeId paused = pickFrom(this.agents, pick).id;
		this.entries.values().forEach(FuzzEntry::onTick);
		this.agents.values().stream().filter((agent) -> !agent.id.equals(paused)).forEach(FuzzAgent::onTick);
	}

	void cutLink(int pick) {
		this.faultCount++;
		List<Link> all = List.copyOf(this.links.values());
		all.get(pick % all.size()).cut();
	}

	void killEntry(int pick) {
		this.faultCount++;
		FuzzEntry entry = pickFrom(this.entries, pick);
		entry.die();
		List.copyOf(this.entryByOpenRequest.keySet())
			.stream()
			.filter((id) -> this.entryByOpenRequest.get(id).equals(entry.id))
			.forEach((id) -> {
				this.entryByOpenRequest.remove(id);
				this.oracle.onCallerLost(id);
			});
		this.links.values().stream().filter((link) -> link.entry.equals(entry.id)).forEach(Link::onEntryDied);
		addEntry(entry.id);
	}

	void killAgent(int pick) {
		this.faultCount++;
		FuzzAgent agent = pickFrom(this.agents, pick);
		agent.die();
		recordLostCrashReports(agent);
		this.links.values().stream().filter((link) -> link.agent.equals(agent.id)).forEach(Link::onAgentDied);
		addAgent(agent.id);
		this.entries.keySet().forEach((entry) -> connect(entry, agent.id));
	}

	/**
	 * Reports to the oracle the crashes that only the dying agent knew of.
	 */
	private void recordLostCrashReports(FuzzAgent agent) {
		for (SuspectContent suspicion : agent.admission().suspects()) {
			boolean told = this.links.values()
				.stream()
				.filter((link) -> link.agent.equals(agent.id) && link.open)
				.anyMatch((link) -> !link.queueToEntry.contains(new AdmissionAction.AnnounceSuspect(suspicion)));
			if (!told) {
				this.oracle.onCrashReportLost(suspicion.fingerprint().value().replace('_', ' '));
			}
		}
	}

	void drainAgent(int pick) {
		pickFrom(this.agents, pick).drain();
	}

	/**
	 * Changes a version's state as an operator does. Nodes receive the revision in any
	 * order, each by a step of its own.
	 */
	void changeVersionState(int pick) {
		TemplateRevision newest = this.revisions.get(this.revisions.size() - 1);
		List<ModelVersion> versions = FuzzAgent.versions("small@v1", "large@v1", "large@v2").stream().toList();
		ModelVersion version = versions.get(pick % 3);
		VersionState state = VersionState.values()[pick / 3 % 3];
		if (state == VersionState.WITHDRAWN) {
			this.oracle.onVersionWithdrawn(version.toString());
		}
		Template changed = newest.template().withState(version, state);
		this.revisions.add(new TemplateRevision(newest.revision() + 1, "c" + pick, "ann", 0, "", changed));
	}

	/**
	 * Delivers one of the three newest revisions to a node, so that old ones may arrive
	 * late.
	 */
	void deliverRevision(int pick) {
		TemplateRevision revision = this.revisions.get(Math.max(0, this.revisions.size() - 1 - pick / 5 % 3));
		int node = pick % 5;
		if (node < 2) {
			deliverRevision(List.copyOf(this.entries.values()).get(node), revision);
		}
		else {
			List.copyOf(this.agents.values()).get(node - 2).handle(new AdmissionEvent.TemplateChanged(revision));
		}
	}

	private void deliverRevision(FuzzEntry entry, TemplateRevision revision) {
		// Agents get the revision before any dispatch that uses it.
		this.agents.keySet().forEach((agent) -> sendToAgent(entry.id, agent, new Message.Revision(revision)));
		entry.handle(new RouterEvent.TemplateChanged(revision));
	}

	// Operations of the nodes.

	boolean sendToAgent(NodeId entry, NodeId agent, Message message) {
		Link link = this.links.get(entry + ">" + agent);
		if (link == null || !link.open) {
			return false;
		}
		link.queueToAgent.add(message);
		return true;
	}

	void sendToEntry(NodeId agent, NodeId entry, Object message) {
		Link link = this.links.get(entry + ">" + agent);
		if (link != null && link.open) {
			link.queueToEntry.add(message);
		}
	}

	void announceLeaving(NodeId agent) {
		this.entries.keySet().forEach((entry) -> sendToEntry(agent, entry, new AdmissionAction.AnnounceLeaving()));
	}

	void announceSuspectToPeers(NodeId from, SuspectContent suspicion) {
		this.entries.values()
			.stream()
			.filter((entry) -> !entry.id.equals(from))
			.forEach((entry) -> entry.handle(new RouterEvent.SuspectAnnounced(suspicion)));
	}

	void scheduleRating(FuzzEntry entry, RouterAction.RateAnswer rate) {
		this.deferredActions.add(() -> entry.onRated(rate.attempt(), (rate.prompt().length() % 3 == 0)
				? OptionalDouble.empty() : OptionalDouble.of(0.5 + rate.prompt().length() % 2 * 0.4)));
	}

	void later(Runnable action) {
		this.deferredActions.add(action);
	}

	void announceHalt(NodeId from, Halt halt) {
		this.entries.values()
			.stream()
			.filter((entry) -> !entry.id.equals(from))
			.forEach((entry) -> entry.handle(new RouterEvent.HaltAnnounced(halt)));
	}

	void sendSuspectToEntries(NodeId agent, AdmissionAction.AnnounceSuspect suspect) {
		this.entries.keySet().forEach((entry) -> sendToEntry(agent, entry, suspect));
	}

	int runningCopies(Dispatch dispatch) {
		return this.agents.values().stream().mapToInt((agent) -> agent.runningCopies(dispatch)).sum();
	}

	Set<NodeId> entries() {
		return this.entries.keySet();
	}

	Set<NodeId> linkedEntries(NodeId agent) {
		Set<NodeId> linked = new HashSet<>();
		this.links.values()
			.stream()
			.filter((link) -> link.open && link.agent.equals(agent))
			.forEach((link) -> linked.add(link.entry));
		return linked;
	}

	/**
	 * Stops all faults, runs until all requests have ended and all records are written,
	 * and returns the violations.
	 */
	List<String> settleAndCheck() {
		for (int i = 0; i < MAX_SETTLING_ROUNDS && i >= 0; i++) {
			boolean busy = this.links.values().stream().anyMatch(Link::isBusy) || this.store.waitingCalls() > 0
					|| !this.deferredActions.isEmpty()
					|| this.agents.values().stream().anyMatch((agent) -> agent.runningJobs() > 0);
			if (!busy && this.entries.values().stream().allMatch((entry) -> entry.openRequestCount() == 0) && i > 100) {
				break;
			}
			deliver(i);
			later(i);
			progressJob(i);
			this.store.answerAll();
			if (i % 20 == 0) {
				advance(100);
			}
		}
		advance(10_000);
		this.agents.values().forEach(FuzzAgent::writeHeldRecords);
		this.entries.values().forEach(FuzzEntry::writeHeldCopies);
		for (int i = 0; i < 20; i++) {
			this.store.answerAll();
			advance(100);
		}
		this.oracle.checkAllAnswered();
		this.oracle.checkBills(StoredBills.readBills(this.store));
		return this.oracle.violations();
	}

	private void addEntry(NodeId id) {
		this.startedRuns++;
		FuzzEntry entry = new FuzzEntry(this, id, id + "." + this.startedRuns, this.startedRuns);
		this.entries.values()
			.forEach((other) -> other.suspects()
				.forEach((suspicion) -> entry.handle(new RouterEvent.SuspectAnnounced(suspicion))));
		this.entries.put(id, entry);
		this.agents.keySet().forEach((agent) -> connect(id, agent));
		deliverRevision(entry, this.revisions.get(this.revisions.size() - 1));
	}

	private void addAgent(NodeId id) {
		this.startedRuns++;
		Set<ModelVersion> versions = switch (id.value()) {
			case "agent-1" -> FuzzAgent.versions("small@v1", "large@v1");
			case "agent-2" -> FuzzAgent.versions("large@v1", "large@v2");
			default -> FuzzAgent.versions("small@v1", "large@v1", "large@v2");
		};
		this.agents.put(id, new FuzzAgent(this, id, id + "." + this.startedRuns, versions));
	}

	private void connect(NodeId entry, NodeId agent) {
		Link link = new Link(entry, agent);
		this.links.put(entry + ">" + agent, link);
		FuzzAgent at = this.agents.get(agent);
		link.queueToAgent.add(new Message.Revision(this.revisions.get(this.revisions.size() - 1)));
		at.handle(new AdmissionEvent.EntryUp(entry));
		at.admission()
			.suspects()
			.forEach((suspicion) -> this.entries.get(entry).handle(new RouterEvent.SuspectAnnounced(suspicion)));
		this.entries.get(entry)
			.handle(new RouterEvent.AgentUp(
					new AgentInfo(agent, "west", "west-1", at.versions, new LoadReport(0, 0, 2))));
	}

	private static <T> T pickFrom(Map<NodeId, T> from, int pick) {
		return List.copyOf(from.values()).get(pick % from.size());
	}

	/**
	 * A link between an entry and an agent. Messages arrive in order or are lost with the
	 * link; each side is notified of the loss by a step of its own.
	 */
	private final class Link {

		private final NodeId entry;

		private final NodeId agent;

		private final Deque<Message> queueToAgent = new ArrayDeque<>();

		private final Deque<Object> queueToEntry = new ArrayDeque<>();

		private final FuzzEntry entryRun;

		private final FuzzAgent agentRun;

		private boolean open = true;

		private boolean entryNotified;

		private boolean agentNotified;

		Link(NodeId entry, NodeId agent) {
			this.entry = entry;
			this.agent = agent;
			this.entryRun = SimulatedCluster.this.entries.get(entry);
			this.agentRun = SimulatedCluster.this.agents.get(agent);
		}

		boolean isBusy() {
			return this.open ? !this.queueToAgent.isEmpty() || !this.queueToEntry.isEmpty()
					: !this.entryNotified || !this.agentNotified;
		}

		void cut() {
			this.open = false;
		}

		void onEntryDied() {
			cut();
			this.entryNotified = true;
			this.agentRun.handle(new AdmissionEvent.EntryDown(this.entry));
			this.agentNotified = true;
		}

		void onAgentDied() {
			cut();
			this.agentNotified = true;
			this.entryRun.handle(new RouterEvent.AgentDown(this.agent));
			this.entryNotified = true;
		}

		void deliver(int pick) {
			if (!this.open) {
				reportDown(pick);
			}
			else if (this.queueToEntry.isEmpty() || (pick % 2 == 0 && !this.queueToAgent.isEmpty())) {
				deliverToAgent(this.queueToAgent.poll());
			}
			else {
				deliverToEntry(this.queueToEntry.poll());
			}
		}

		private void reportDown(int pick) {
			if (!this.entryNotified && (pick % 2 == 0 || this.agentNotified)) {
				this.entryNotified = true;
				this.entryRun.handle(new RouterEvent.AgentDown(this.agent));
			}
			else if (!this.agentNotified) {
				this.agentNotified = true;
				this.agentRun.handle(new AdmissionEvent.EntryDown(this.entry));
			}
			if (this.entryNotified && this.agentNotified) {
				connect(this.entry, this.agent);
			}
		}

		private void deliverToAgent(Message message) {
			switch (message) {
				case Message.Dispatched sent -> this.agentRun
					.handle(new AdmissionEvent.Dispatched(this.entry, sent.dispatch(), sent.dispatch().deadline()));
				case Message.Cancel cancel ->
					this.agentRun.handle(new AdmissionEvent.CancelRequested(cancel.attempt()));
				case Message.Release release -> throw new IllegalStateException("not sent to agents: " + release);
				case Message.Revision revision ->
					this.agentRun.handle(new AdmissionEvent.TemplateChanged(revision.revision()));
				case Message.CopyHeld held -> this.agentRun.handle(new AdmissionEvent.CopyHeld(held.attempt()));
				case Message.Recorded recorded -> this.agentRun.onRecorded(recorded);
			}
		}

		private void deliverToEntry(Object message) {
			switch (message) {
				case AdmissionAction.Accept accept ->
					this.entryRun.handle(new RouterEvent.AttemptAccepted(accept.attempt()));
				case AdmissionAction.Refuse refuse ->
					this.entryRun.handle(new RouterEvent.AttemptRefused(refuse.attempt(), refuse.refusal()));
				case AdmissionAction.SendChunk chunk ->
					this.entryRun.handle(new RouterEvent.AttemptChunk(chunk.attempt(), chunk.offset(), chunk.text()));
				case AdmissionAction.SendDone done ->
					this.entryRun.handle(new RouterEvent.AttemptDone(done.attempt(), done.completion(), done.length()));
				case AdmissionAction.SendFailed failed ->
					this.entryRun.handle(new RouterEvent.AttemptFailed(failed.attempt(), failed.verdict(),
							failed.crashed(), failed.usage()));
				case AdmissionAction.AnnounceLeaving leaving ->
					this.entryRun.handle(new RouterEvent.AgentLeaving(this.agent));
				case AdmissionAction.CopyLine copy -> {
					this.entryRun.onCopyReceived(copy.line());
					this.queueToAgent.add(new Message.CopyHeld(copy.line().line().attempt()));
				}
				case Message.Release release -> this.entryRun.onRelease(release.request());
				case AdmissionAction.AnnounceSuspect suspect ->
					this.entryRun.handle(new RouterEvent.SuspectAnnounced(suspect.suspicion()));
				default -> throw new IllegalStateException("not sent to entries: " + message);
			}
		}

	}

}
