package org.gullsaddle.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.gullsaddle.agent.Admission;
import org.gullsaddle.agent.AdmissionAction;
import org.gullsaddle.agent.AdmissionEvent;
import org.gullsaddle.agent.AdmissionSettings;
import org.gullsaddle.agent.HeldLines;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.LedgerWriter;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionState;

/**
 * An agent's core and its backend server, which goes on by one part at each step.
 */
final class FuzzAgent implements Oracle.AgentView {

	private static final int SLOTS = 2;

	private static final int PART = 4;

	final NodeId id;

	final Set<ModelVersion> versions;

	private final World world;

	private final Admission admission;

	private final LedgerWriter ledger;

	private final HeldLines held = new HeldLines(2000);

	private final String run;

	private final Map<AttemptId, Job> jobs = new LinkedHashMap<>();

	private final Set<AttemptId> secured = new HashSet<>();

	private final Set<AttemptId> tried = new HashSet<>();

	private final Map<RequestId, NodeId> copies = new HashMap<>();

	private TemplateRevision heard;

	private boolean draining;

	private boolean flushing;

	private boolean dead;

	FuzzAgent(World world, NodeId id, String run, Set<ModelVersion> versions) {
		this.world = world;
		this.id = id;
		this.run = run;
		this.versions = versions;
		this.admission = world.admission(new AdmissionSettings(id, 4, 100));
		this.ledger = new LedgerWriter(run, 1000);
		handle(new AdmissionEvent.BackendUp(versions, SLOTS));
	}

	Admission admission() {
		return this.admission;
	}

	boolean dead() {
		return this.dead;
	}

	void die() {
		this.dead = true;
		this.world.oracle.died(this.run);
		this.jobs.clear();
	}

	int running() {
		return this.jobs.size();
	}

	void drain() {
		this.draining = true;
		if (this.world.plant == Plant.DRAIN_IS_IGNORED) {
			return;
		}
		if (this.world.plant == Plant.DRAINED_TOO_EARLY) {
			this.world.oracle.drained(this.id.value(), this.jobs.size());
		}
		handle(new AdmissionEvent.DrainStarted());
	}

	@Override
	public boolean allowed(String team, String version) {
		return template((held) -> held.template()
			.findTeam(new TeamId(team))
			.map((rule) -> rule.versions().contains(ModelVersion.of(version)))
			.orElse(false));
	}

	@Override
	public boolean withdrawn(String version) {
		return template((held) -> held.template()
			.findRule(ModelVersion.of(version))
			.map((rule) -> rule.state() == VersionState.WITHDRAWN)
			.orElse(true));
	}

	@Override
	public boolean draining() {
		return this.draining;
	}

	private boolean template(Predicate<TemplateRevision> question) {
		return this.heard != null && question.test(this.heard);
	}

	void handle(AdmissionEvent event) {
		if (this.dead) {
			return;
		}
		if (event instanceof AdmissionEvent.CopyHeld copy) {
			this.secured.add(copy.attempt());
		}
		if (event instanceof AdmissionEvent.TemplateChanged changed) {
			boolean first = this.heard == null;
			hear(changed.revision());
			if (!first && this.world.plant == Plant.AGENT_HEARS_NO_CHANGES) {
				return;
			}
		}
		for (AdmissionAction action : this.admission.handle(this.world.now(), event)) {
			carryOut(action);
		}
		if (this.world.plant != Plant.CONFIGURATION_FOLLOWS_ARRIVAL) {
			this.world.oracle.inForce(this.run, this.admission.templates().revisionOf(World.TEMPLATE));
		}
	}

	private void hear(TemplateRevision revision) {
		if (this.heard == null || this.heard.revision() < revision.revision()) {
			this.heard = revision;
		}
		if (this.world.plant == Plant.CONFIGURATION_FOLLOWS_ARRIVAL) {
			this.world.oracle.inForce(this.run, revision.revision());
		}
	}

	void recorded(Message.Recorded recorded) {
		this.held.onRecorded(List.of(recorded.request()));
		NodeId holder = this.copies.remove(recorded.request());
		if (holder != null) {
			this.world.toEntry(this.id, holder, new Message.Release(recorded.request()));
		}
	}

	void tick() {
		handle(new AdmissionEvent.Tick());
		for (AgentRecord line : this.held.takeDue(this.world.now().millis(), this.world.entriesOf(this.id))) {
			this.ledger.append(new LedgerEntry.AttemptEntry(line));
		}
		flush();
	}

	/**
	 * Writes all that is held, as on a graceful stop.
	 */
	void writeAll() {
		this.held.takeAll().forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
		flush();
	}

	private void flush() {
		Segment segment = this.ledger.nextSegment().orElse(null);
		if (segment == null || this.flushing || this.dead) {
			return;
		}
		this.flushing = true;
		String key = "ledger/" + this.run + "/" + segment.sequence();
		this.world.store.write(key, 0, segment, (result) -> {
			this.flushing = false;
			if (result instanceof FaultyStore.Result.Written || result instanceof FaultyStore.Result.Conflict) {
				this.ledger.onWritten();
			}
		});
	}

	/**
	 * Lets the backend server go on with one of its jobs.
	 */
	void progress(int pick) {
		if (this.jobs.isEmpty()) {
			return;
		}
		Job job = new ArrayList<>(this.jobs.values()).get(pick % this.jobs.size());
		if (job.dispatch.body().contains("poison")) {
			crash(job);
			return;
		}
		String rest = job.rest();
		AttemptId attempt = job.dispatch.attempt();
		if (rest.isEmpty()) {
			this.jobs.remove(attempt);
			handle(new AdmissionEvent.AttemptDone(attempt,
					new Completion(200, "text/plain", "stop", World.usage(job.dispatch.body()))));
			return;
		}
		String part = rest.substring(0, Math.min(PART, rest.length()));
		job.sent += part.length();
		handle(new AdmissionEvent.AttemptChunk(attempt, part));
	}

	/**
	 * Breaks one job off, as a backend server that answers with an error does.
	 */
	void breakOff(int pick) {
		if (!this.jobs.isEmpty()) {
			AttemptId attempt = new ArrayList<>(this.jobs.keySet()).get(pick % this.jobs.size());
			this.jobs.remove(attempt);
			Verdict verdict = (this.world.plant == Plant.FAILURES_CLAIM_NOT_RUN) ? Verdict.NOT_RUN
					: Verdict.MAY_HAVE_RUN;
			handle(new AdmissionEvent.AttemptFailed(attempt, verdict, false, Usage.NONE));
		}
	}

	private void crash(Job poison) {
		String body = poison.dispatch.body();
		this.world.oracle.crashed(poison.dispatch.team().value(), body, this.world.copies(poison.dispatch) - 1);
		List<AttemptId> lost = List.copyOf(this.jobs.keySet());
		this.jobs.clear();
		handle(new AdmissionEvent.BackendDown());
		boolean told = this.world.plant != Plant.CRASHES_ARE_NOT_TOLD;
		lost.forEach(
				(attempt) -> handle(new AdmissionEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, told, Usage.NONE)));
		handle(new AdmissionEvent.BackendUp(this.versions, SLOTS));
	}

	int copies(Dispatch dispatch) {
		return (int) this.jobs.values()
			.stream()
			.filter((job) -> job.dispatch.fingerprint().equals(dispatch.fingerprint()))
			.count();
	}

	private void carryOut(AdmissionAction action) {
		switch (action) {
			case AdmissionAction.Start start -> start(start.dispatch());
			case AdmissionAction.Abort abort -> {
				this.jobs.remove(abort.attempt());
				this.world.later(() -> handle(
						new AdmissionEvent.AttemptFailed(abort.attempt(), Verdict.MAY_HAVE_RUN, false, Usage.NONE)));
			}
			case AdmissionAction.Accept accept -> this.world.toEntry(this.id, accept.entry(), action);
			case AdmissionAction.Refuse refuse -> this.world.toEntry(this.id, refuse.entry(), action);
			case AdmissionAction.SendChunk chunk -> this.world.toEntry(this.id, chunk.entry(), action);
			case AdmissionAction.SendDone done -> {
				boolean alone = this.world.entriesOf(this.id).size() <= 1;
				if (!this.secured.contains(done.attempt()) && (alone || this.tried.contains(done.attempt()))) {
					this.world.oracle.onTwoNodesOnly(done.attempt().request().value());
				}
				this.world.toEntry(this.id, done.entry(), action);
			}
			case AdmissionAction.SendFailed failed -> this.world.toEntry(this.id, failed.entry(), action);
			case AdmissionAction.HoldLine hold -> {
				this.held.hold(hold.line(), this.world.now().millis());
				this.world.oracle.heldBy(hold.line().line().attempt().request().value(), this.run);
			}
			case AdmissionAction.CopyLine copy -> {
				this.tried.add(copy.line().line().attempt());
				this.copies.put(copy.line().line().attempt().request(), copy.holder());
				this.world.toEntry(this.id, copy.holder(), copy);
			}
			case AdmissionAction.AnnounceSuspect suspect -> this.world.announce(this.id, suspect);
			case AdmissionAction.AnnounceLeaving leaving -> this.world.leaving(this.id);
			case AdmissionAction.Drained drained -> this.world.oracle.drained(this.id.value(), this.jobs.size());
		}
	}

	private void start(Dispatch dispatch) {
		this.jobs.put(dispatch.attempt(), new Job(dispatch));
		boolean another = this.world.plant == Plant.RUNS_ANOTHER_VERSION;
		this.world.oracle.started(dispatch.attempt().request().value(), this.id.value(),
				another ? "large@v1" : dispatch.version().toString(), dispatch.resume(), this);
	}

	static Set<ModelVersion> versions(String... names) {
		Set<ModelVersion> versions = new TreeSet<>();
		for (String name : names) {
			versions.add(ModelVersion.of(name));
		}
		return versions;
	}

	private static final class Job {

		private final Dispatch dispatch;

		private int sent;

		Job(Dispatch dispatch) {
			this.dispatch = dispatch;
			this.sent = dispatch.resume().length();
		}

		String rest() {
			return World.answer(this.dispatch.version().toString(), this.dispatch.body()).substring(this.sent);
		}

	}

}
