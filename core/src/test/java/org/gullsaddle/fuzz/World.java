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
 * Two entries, three agents and a store, with a queue for each link. Nothing moves unless
 * a step moves it, so that every delay, order and loss is a choice of the steps.
 */
class World {

	static final TemplateName TEMPLATE = new TemplateName("t");

	private static final int MAX_SETTLING = 20_000;

	private static final String YAML = """
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

	private final Map<String, NodeId> callers = new HashMap<>();

	private final List<Runnable> pending = new ArrayList<>();

	private final List<TemplateRevision> revisions = new ArrayList<>();

	private long time = 1;

	private long stamp;

	private int requests;

	private int runs;

	private int faults;

	final Plant plant;

	World() {
		this(Plant.NONE);
	}

	World(Plant plant) {
		this.plant = plant;
		try {
			Template template = Template.parse(YAML);
			this.revisions.add(new TemplateRevision(1, "c1", "ann", 0, YAML, template));
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
	 * Makes the admission under test; a test that plants a fault makes another.
	 */
	Admission admission(AdmissionSettings settings) {
		return new Admission(settings);
	}

	static String answer(String version, String body) {
		return version + " says: " + body.replace("poison", "p") + "!";
	}

	static Usage usage(String body) {
		return new Usage(10, 100L + body.length());
	}

	static long cost(String version, String body) {
		return usage(body).outputTokens() * (version.startsWith("small") ? 1 : 10);
	}

	Moment now() {
		this.stamp++;
		return new Moment(this.time, this.stamp);
	}

	int faults() {
		return this.faults;
	}

	// What the steps may do.

	void send(int pick) {
		String team = (pick % 3 == 0) ? "basic" : "gold";
		this.requests++;
		String id = "r" + this.requests;
		FuzzEntry entry = pick(this.entries, pick);
		String session = (pick % 5 == 1) ? "session-" + pick % 3 : null;
		String body = (pick % 23 == 0) ? "poison " + pick % 2 : "body " + pick;
		request(entry, id, team, session, null, body);
	}

	/**
	 * Sends a call that may not be repeated, under one of few keys, so that many are sent
	 * again.
	 */
	void order(int pick) {
		this.requests++;
		int key = pick % 4;
		request(pick(this.entries, pick / 4), "r" + this.requests, "gold", null, "key-" + key, "order " + key);
	}

	private void request(FuzzEntry entry, String id, String team, String session, String key, String body) {
		IncomingRequest.Builder builder = IncomingRequest.builder(new RequestId(id), new TeamId(team), TEMPLATE)
			.deadline(this.time + 3000)
			.fingerprint(new Fingerprint((team + "/" + body).replace(' ', '_')))
			.session((session != null) ? new SessionId(session) : null)
			.body(body);
		this.oracle.sent(id, team, session, key, body, entry.heard(team + "/" + body));
		this.callers.put(id, entry.id);
		entry.submit((key != null) ? builder.atMostOnce(key).build() : builder.build());
	}

	void callerLeaves(int pick) {
		List<String> open = this.callers.keySet().stream().sorted().toList();
		if (!open.isEmpty()) {
			String id = open.get(pick % open.size());
			FuzzEntry entry = this.entries.get(this.callers.remove(id));
			this.oracle.callerLost(id);
			entry.handle(new RouterEvent.CallerDisconnected(new RequestId(id)));
		}
	}

	void deliver(int pick) {
		List<Link> busy = this.links.values().stream().filter(Link::busy).toList();
		if (!busy.isEmpty()) {
			busy.get(pick % busy.size()).deliver(pick);
		}
	}

	void store(int pick, int fate) {
		this.faults += fate % 2;
		this.store.answer(pick, fate);
	}

	void lateWrite(int pick) {
		this.faults++;
		this.store.applyLate(pick);
	}

	void progress(int pick) {
		pick(this.agents, pick).progress(pick / 3);
	}

	void breakOff(int pick) {
		this.faults++;
		pick(this.agents, pick).breakOff(pick / 3);
	}

	void later(int pick) {
		if (!this.pending.isEmpty()) {
			this.pending.remove(pick % this.pending.size()).run();
		}
	}

	void advance(int millis) {
		this.time += millis;
		this.entries.values().forEach(FuzzEntry::tick);
		this.agents.values().forEach(FuzzAgent::tick);
	}

	/**
	 * Lets time pass for everyone but one node, which is paused and hears nothing of it.
	 */
	void advanceWithout(int pick, int millis) {
		this.faults++;
		this.time += millis;
		NodeId paused = pick(this.agents, pick).id;
		this.entries.values().forEach(FuzzEntry::tick);
		this.agents.values().stream().filter((agent) -> !agent.id.equals(paused)).forEach(FuzzAgent::tick);
	}

	void cut(int pick) {
		this.faults++;
		List<Link> all = List.copyOf(this.links.values());
		all.get(pick % all.size()).cut();
	}

	void killEntry(int pick) {
		this.faults++;
		FuzzEntry entry = pick(this.entries, pick);
		entry.die();
		List.copyOf(this.callers.keySet())
			.stream()
			.filter((id) -> this.callers.get(id).equals(entry.id))
			.forEach((id) -> {
				this.callers.remove(id);
				this.oracle.callerLost(id);
			});
		this.links.values().stream().filter((link) -> link.entry.equals(entry.id)).forEach(Link::lostEntry);
		addEntry(entry.id);
	}

	void killAgent(int pick) {
		this.faults++;
		FuzzAgent agent = pick(this.agents, pick);
		agent.die();
		untold(agent);
		this.links.values().stream().filter((link) -> link.agent.equals(agent.id)).forEach(Link::lostAgent);
		addAgent(agent.id);
		this.entries.keySet().forEach((entry) -> connect(entry, agent.id));
	}

	/**
	 * Tells the oracle of crashes that only the dying agent knew of.
	 */
	private void untold(FuzzAgent agent) {
		for (SuspectContent suspicion : agent.admission().suspects()) {
			boolean told = this.links.values()
				.stream()
				.filter((link) -> link.agent.equals(agent.id) && link.open)
				.anyMatch((link) -> !link.toEntry.contains(new AdmissionAction.AnnounceSuspect(suspicion)));
			if (!told) {
				this.oracle.untold(suspicion.fingerprint().value().replace('_', ' '));
			}
		}
	}

	void drain(int pick) {
		pick(this.agents, pick).drain();
	}

	/**
	 * An operator changes a version's state; nodes hear of it in any order, each when its
	 * step comes.
	 */
	void change(int pick) {
		TemplateRevision newest = this.revisions.get(this.revisions.size() - 1);
		List<ModelVersion> versions = FuzzAgent.versions("small@v1", "large@v1", "large@v2").stream().toList();
		ModelVersion version = versions.get(pick % 3);
		VersionState state = VersionState.values()[pick / 3 % 3];
		if (state == VersionState.WITHDRAWN) {
			this.oracle.withdrawn(version.toString());
		}
		Template changed = newest.template().withState(version, state);
		this.revisions.add(new TemplateRevision(newest.revision() + 1, "c" + pick, "ann", 0, "", changed));
	}

	/**
	 * A node hears of some revision, perhaps of an old one.
	 */
	void hear(int pick) {
		TemplateRevision revision = this.revisions.get(Math.max(0, this.revisions.size() - 1 - pick / 5 % 3));
		int node = pick % 5;
		if (node < 2) {
			hear(List.copyOf(this.entries.values()).get(node), revision);
		}
		else {
			List.copyOf(this.agents.values()).get(node - 2).handle(new AdmissionEvent.TemplateChanged(revision));
		}
	}

	private void hear(FuzzEntry entry, TemplateRevision revision) {
		// The agents are sent the revision ahead of any dispatch under it.
		this.agents.keySet().forEach((agent) -> toAgent(entry.id, agent, new Message.Revision(revision)));
		entry.handle(new RouterEvent.TemplateChanged(revision));
	}

	// What the nodes do.

	boolean toAgent(NodeId entry, NodeId agent, Message message) {
		Link link = this.links.get(entry + ">" + agent);
		if (link == null || !link.open) {
			return false;
		}
		link.toAgent.add(message);
		return true;
	}

	void toEntry(NodeId agent, NodeId entry, Object message) {
		Link link = this.links.get(entry + ">" + agent);
		if (link != null && link.open) {
			link.toEntry.add(message);
		}
	}

	void leaving(NodeId agent) {
		this.entries.keySet().forEach((entry) -> toEntry(agent, entry, new AdmissionAction.AnnounceLeaving()));
	}

	void suspect(NodeId from, SuspectContent suspicion) {
		this.entries.values()
			.stream()
			.filter((entry) -> !entry.id.equals(from))
			.forEach((entry) -> entry.handle(new RouterEvent.SuspectAnnounced(suspicion)));
	}

	void rate(FuzzEntry entry, RouterAction.RateAnswer rate) {
		this.pending.add(() -> entry.rated(rate.attempt(), (rate.prompt().length() % 3 == 0) ? OptionalDouble.empty()
				: OptionalDouble.of(0.5 + rate.prompt().length() % 2 * 0.4)));
	}

	void later(Runnable action) {
		this.pending.add(action);
	}

	void halted(NodeId from, Halt halt) {
		this.entries.values()
			.stream()
			.filter((entry) -> !entry.id.equals(from))
			.forEach((entry) -> entry.handle(new RouterEvent.HaltAnnounced(halt)));
	}

	void announce(NodeId agent, AdmissionAction.AnnounceSuspect suspect) {
		this.entries.keySet().forEach((entry) -> toEntry(agent, entry, suspect));
	}

	int copies(Dispatch dispatch) {
		return this.agents.values().stream().mapToInt((agent) -> agent.copies(dispatch)).sum();
	}

	Set<NodeId> entries() {
		return this.entries.keySet();
	}

	Set<NodeId> entriesOf(NodeId agent) {
		Set<NodeId> linked = new HashSet<>();
		this.links.values()
			.stream()
			.filter((link) -> link.open && link.agent.equals(agent))
			.forEach((link) -> linked.add(link.entry));
		return linked;
	}

	/**
	 * Ends all faults, lets everything run to its end, and judges what is left.
	 */
	List<String> settle() {
		for (int i = 0; i < MAX_SETTLING && i >= 0; i++) {
			boolean busy = this.links.values().stream().anyMatch(Link::busy) || this.store.waiting() > 0
					|| !this.pending.isEmpty()
					|| this.agents.values().stream().anyMatch((agent) -> agent.running() > 0);
			if (!busy && this.entries.values().stream().allMatch((entry) -> entry.open() == 0) && i > 100) {
				break;
			}
			deliver(i);
			later(i);
			progress(i);
			this.store.answerAll();
			if (i % 20 == 0) {
				advance(100);
			}
		}
		advance(10_000);
		this.agents.values().forEach(FuzzAgent::writeAll);
		this.entries.values().forEach(FuzzEntry::writeAll);
		for (int i = 0; i < 20; i++) {
			this.store.answerAll();
			advance(100);
		}
		this.oracle.allAnswered();
		this.oracle.billed(StoredBills.in(this.store));
		return this.oracle.violations();
	}

	private void addEntry(NodeId id) {
		this.runs++;
		FuzzEntry entry = new FuzzEntry(this, id, id + "." + this.runs, this.runs);
		this.entries.values()
			.forEach((other) -> other.suspects()
				.forEach((suspicion) -> entry.handle(new RouterEvent.SuspectAnnounced(suspicion))));
		this.entries.put(id, entry);
		this.agents.keySet().forEach((agent) -> connect(id, agent));
		hear(entry, this.revisions.get(this.revisions.size() - 1));
	}

	private void addAgent(NodeId id) {
		this.runs++;
		Set<ModelVersion> versions = switch (id.value()) {
			case "agent-1" -> FuzzAgent.versions("small@v1", "large@v1");
			case "agent-2" -> FuzzAgent.versions("large@v1", "large@v2");
			default -> FuzzAgent.versions("small@v1", "large@v1", "large@v2");
		};
		this.agents.put(id, new FuzzAgent(this, id, id + "." + this.runs, versions));
	}

	private void connect(NodeId entry, NodeId agent) {
		Link link = new Link(entry, agent);
		this.links.put(entry + ">" + agent, link);
		FuzzAgent at = this.agents.get(agent);
		link.toAgent.add(new Message.Revision(this.revisions.get(this.revisions.size() - 1)));
		at.handle(new AdmissionEvent.EntryUp(entry));
		at.admission()
			.suspects()
			.forEach((suspicion) -> this.entries.get(entry).handle(new RouterEvent.SuspectAnnounced(suspicion)));
		this.entries.get(entry)
			.handle(new RouterEvent.AgentUp(
					new AgentInfo(agent, "west", "west-1", at.versions, new LoadReport(0, 0, 2))));
	}

	private static <T> T pick(Map<NodeId, T> from, int pick) {
		return List.copyOf(from.values()).get(pick % from.size());
	}

	/**
	 * A link: what is sent arrives in order, or is lost with the link. Each side hears of
	 * the loss when its step comes.
	 */
	private final class Link {

		private final NodeId entry;

		private final NodeId agent;

		private final Deque<Message> toAgent = new ArrayDeque<>();

		private final Deque<Object> toEntry = new ArrayDeque<>();

		private final FuzzEntry entryRun;

		private final FuzzAgent agentRun;

		private boolean open = true;

		private boolean entryToldDown;

		private boolean agentToldDown;

		Link(NodeId entry, NodeId agent) {
			this.entry = entry;
			this.agent = agent;
			this.entryRun = World.this.entries.get(entry);
			this.agentRun = World.this.agents.get(agent);
		}

		boolean busy() {
			return this.open ? !this.toAgent.isEmpty() || !this.toEntry.isEmpty()
					: !this.entryToldDown || !this.agentToldDown;
		}

		void cut() {
			this.open = false;
		}

		void lostEntry() {
			cut();
			this.entryToldDown = true;
			this.agentRun.handle(new AdmissionEvent.EntryDown(this.entry));
			this.agentToldDown = true;
		}

		void lostAgent() {
			cut();
			this.agentToldDown = true;
			this.entryRun.handle(new RouterEvent.AgentDown(this.agent));
			this.entryToldDown = true;
		}

		void deliver(int pick) {
			if (!this.open) {
				tellDown(pick);
			}
			else if (this.toEntry.isEmpty() || (pick % 2 == 0 && !this.toAgent.isEmpty())) {
				toAgent(this.toAgent.poll());
			}
			else {
				toEntry(this.toEntry.poll());
			}
		}

		private void tellDown(int pick) {
			if (!this.entryToldDown && (pick % 2 == 0 || this.agentToldDown)) {
				this.entryToldDown = true;
				this.entryRun.handle(new RouterEvent.AgentDown(this.agent));
			}
			else if (!this.agentToldDown) {
				this.agentToldDown = true;
				this.agentRun.handle(new AdmissionEvent.EntryDown(this.entry));
			}
			if (this.entryToldDown && this.agentToldDown) {
				connect(this.entry, this.agent);
			}
		}

		private void toAgent(Message message) {
			switch (message) {
				case Message.Dispatched sent -> this.agentRun
					.handle(new AdmissionEvent.Dispatched(this.entry, sent.dispatch(), sent.dispatch().deadline()));
				case Message.Cancel cancel ->
					this.agentRun.handle(new AdmissionEvent.CancelRequested(cancel.attempt()));
				case Message.Release release -> throw new IllegalStateException("not sent to agents: " + release);
				case Message.Revision revision ->
					this.agentRun.handle(new AdmissionEvent.TemplateChanged(revision.revision()));
				case Message.CopyHeld held -> this.agentRun.handle(new AdmissionEvent.CopyHeld(held.attempt()));
				case Message.Recorded recorded -> this.agentRun.recorded(recorded);
			}
		}

		private void toEntry(Object message) {
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
					this.entryRun.hold(copy.line());
					this.toAgent.add(new Message.CopyHeld(copy.line().line().attempt()));
				}
				case Message.Release release -> this.entryRun.release(release.request());
				case AdmissionAction.AnnounceSuspect suspect ->
					this.entryRun.handle(new RouterEvent.SuspectAnnounced(suspect.suspicion()));
				default -> throw new IllegalStateException("not sent to entries: " + message);
			}
		}

	}

}
