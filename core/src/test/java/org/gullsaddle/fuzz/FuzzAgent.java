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
 * An agent's core and its backend server, which emits one chunk at each step.
 */
final class FuzzAgent implements Oracle.AgentView {

	private static final int SLOTS = 2;

	private static final int CHUNK_CHARACTERS = 4;

	final NodeId id;

	final Set<ModelVersion> versions;

	private final SimulatedCluster world;

	private final Admission admission;

	private final LedgerWriter ledger;

	private final HeldLines heldLines = new HeldLines(2000);

	private final String run;

	private final Map<AttemptId, Job> jobs = new LinkedHashMap<>();

	private final Set<AttemptId> copyConfirmed = new HashSet<>();

	private final Set<AttemptId> copyAttempted = new HashSet<>();

	private final Map<RequestId, NodeId> copyHolders = new HashMap<>();

	private TemplateRevision newestRevision;

	private boolean draining;

	private boolean flushing;

	private boolean dead;

	FuzzAgent(SimulatedCluster world, NodeId id, String run, Set<ModelVersion> versions) {
		this.world = world;
		this.id = id;
		this.run = run;
		this.versions = versions;
		this.admission = world.createAdmission(new AdmissionSettings(id, 4, 100));
		this.ledger = new LedgerWriter(run, 1000);
		handle(new AdmissionEvent.BackendUp(versions, SLOTS));
	}

	Admission admission() {
		return this.admission;
	}

	boolean isDead() {
		return this.dead;
	}

	void die() {
		this.dead = true;
		this.world.oracle.onRunDied(this.run);
		this.jobs.clear();
	}

	int runningJobs() {
		return this.jobs.size();
	}

	void drain() {
		this.draining = true;
		if (this.world.plantedFault == PlantedFault.DRAIN_IGNORED) {
			return;
		}
		if (this.world.plantedFault == PlantedFault.REPORTS_DRAINED_TOO_EARLY) {
			this.world.oracle.onAgentDrained(this.id.value(), this.jobs.size());
		}
		handle(new AdmissionEvent.DrainStarted());
	}

	@Override
	public boolean isAllowed(String team, String version) {
		return matchesNewestRevision((held) -> held.template()
			.findTeam(new TeamId(team))
			.map((rule) -> rule.versions().contains(ModelVersion.of(version)))
			.orElse(false));
	}

	@Override
	public boolean isWithdrawn(String version) {
		return matchesNewestRevision((held) -> held.template()
			.findRule(ModelVersion.of(version))
			.map((rule) -> rule.state() == VersionState.WITHDRAWN)
			.orElse(true));
	}

	@Override
	public boolean isDraining() {
		return this.draining;
	}

	private boolean matchesNewestRevision(Predicate<TemplateRevision> question) {
		return this.newestRevision != null && question.test(this.newestRevision);
	}

	void handle(AdmissionEvent event) {
		if (this.dead) {
			return;
		}
		if (event instanceof AdmissionEvent.CopyHeld copy) {
			this.copyConfirmed.add(copy.attempt());
		}
		if (event instanceof AdmissionEvent.TemplateChanged changed) {
			boolean first = this.newestRevision == null;
			recordRevision(changed.revision());
			if (!first && this.world.plantedFault == PlantedFault.AGENT_IGNORES_TEMPLATE_CHANGES) {
				return;
			}
		}
		for (AdmissionAction action : this.admission.handle(this.world.now(), event)) {
			execute(action);
		}
		if (this.world.plantedFault != PlantedFault.APPLIES_OLDER_REVISIONS) {
			this.world.oracle.onRevisionApplied(this.run,
					this.admission.templates().revisionOf(SimulatedCluster.TEMPLATE));
		}
	}

	private void recordRevision(TemplateRevision revision) {
		if (this.newestRevision == null || this.newestRevision.revision() < revision.revision()) {
			this.newestRevision = revision;
		}
		if (this.world.plantedFault == PlantedFault.APPLIES_OLDER_REVISIONS) {
			this.world.oracle.onRevisionApplied(this.run, revision.revision());
		}
	}

	void onRecorded(Message.Recorded recorded) {
		this.heldLines.onRecorded(List.of(recorded.request()));
		NodeId holder = this.copyHolders.remove(recorded.request());
		if (holder != null) {
			this.world.sendToEntry(this.id, holder, new Message.Release(recorded.request()));
		}
	}

	void onTick() {
		handle(new AdmissionEvent.Tick());
		for (AgentRecord line : this.heldLines.takeDue(this.world.now().millis(), this.world.linkedEntries(this.id))) {
			this.ledger.append(new LedgerEntry.AttemptEntry(line));
		}
		flush();
	}

	/**
	 * Writes all held records, as on a graceful stop.
	 */
	void writeHeldRecords() {
		this.heldLines.takeAll().forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
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
	 * Advances one job of the backend server by a chunk, or crashes the server if its
	 * content is poison.
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
		String rest = job.remainingText();
		AttemptId attempt = job.dispatch.attempt();
		if (rest.isEmpty()) {
			this.jobs.remove(attempt);
			handle(new AdmissionEvent.AttemptDone(attempt,
					new Completion(200, "text/plain", "stop", SimulatedCluster.expectedUsage(job.dispatch.body()))));
			return;
		}
		String part = rest.substring(0, Math.min(CHUNK_CHARACTERS, rest.length()));
		job.sent += part.length();
		handle(new AdmissionEvent.AttemptChunk(attempt, part));
	}

	/**
	 * Fails one job, as a backend server does that answers with an error.
	 */
	void failJob(int pick) {
		if (!this.jobs.isEmpty()) {
			AttemptId attempt = new ArrayList<>(this.jobs.keySet()).get(pick % this.jobs.size());
			this.jobs.remove(attempt);
			Verdict verdict = (this.world.plantedFault == PlantedFault.FAILURES_CLAIM_NOT_RUN) ? Verdict.NOT_RUN
					: Verdict.MAY_HAVE_RUN;
			handle(new AdmissionEvent.AttemptFailed(attempt, verdict, false, Usage.NONE));
		}
	}

	private void crash(Job poison) {
		String body = poison.dispatch.body();
		this.world.oracle.onBackendCrashed(poison.dispatch.team().value(), body,
				this.world.runningCopies(poison.dispatch) - 1);
		List<AttemptId> lost = List.copyOf(this.jobs.keySet());
		this.jobs.clear();
		handle(new AdmissionEvent.BackendDown());
		boolean told = this.world.plantedFault != PlantedFault.CRASHES_NOT_REPORTED;
		lost.forEach(
				(attempt) -> handle(new AdmissionEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, told, Usage.NONE)));
		handle(new AdmissionEvent.BackendUp(this.versions, SLOTS));
	}

	int runningCopies(Dispatch dispatch) {
		return (int) this.jobs.values()
			.stream()
			.filter((job) -> job.dispatch.fingerprint().equals(dispatch.fingerprint()))
			.count();
	}

	private void execute(AdmissionAction action) {
		switch (action) {
			case AdmissionAction.Start start -> start(start.dispatch());
			case AdmissionAction.Abort abort -> {
				this.jobs.remove(abort.attempt());
				this.world.later(() -> handle(
						new AdmissionEvent.AttemptFailed(abort.attempt(), Verdict.MAY_HAVE_RUN, false, Usage.NONE)));
			}
			case AdmissionAction.Accept accept -> this.world.sendToEntry(this.id, accept.entry(), action);
			case AdmissionAction.Refuse refuse -> this.world.sendToEntry(this.id, refuse.entry(), action);
			case AdmissionAction.SendChunk chunk -> this.world.sendToEntry(this.id, chunk.entry(), action);
			case AdmissionAction.SendDone done -> {
				boolean alone = this.world.linkedEntries(this.id).size() <= 1;
				if (!this.copyConfirmed.contains(done.attempt())
						&& (alone || this.copyAttempted.contains(done.attempt()))) {
					this.world.oracle.onRecordOnTwoNodesOnly(done.attempt().request().value());
				}
				this.world.sendToEntry(this.id, done.entry(), action);
			}
			case AdmissionAction.SendFailed failed -> this.world.sendToEntry(this.id, failed.entry(), action);
			case AdmissionAction.HoldLine hold -> {
				this.heldLines.hold(hold.line(), this.world.now().millis());
				this.world.oracle.onRecordHeld(hold.line().line().attempt().request().value(), this.run);
			}
			case AdmissionAction.CopyLine copy -> {
				this.copyAttempted.add(copy.line().line().attempt());
				this.copyHolders.put(copy.line().line().attempt().request(), copy.holder());
				this.world.sendToEntry(this.id, copy.holder(), copy);
			}
			case AdmissionAction.AnnounceSuspect suspect -> this.world.sendSuspectToEntries(this.id, suspect);
			case AdmissionAction.AnnounceLeaving leaving -> this.world.announceLeaving(this.id);
			case AdmissionAction.Drained drained -> this.world.oracle.onAgentDrained(this.id.value(), this.jobs.size());
		}
	}

	private void start(Dispatch dispatch) {
		this.jobs.put(dispatch.attempt(), new Job(dispatch));
		boolean another = this.world.plantedFault == PlantedFault.RUNS_ANOTHER_VERSION;
		this.world.oracle.onRunStarted(dispatch.attempt().request().value(), this.id.value(),
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

		String remainingText() {
			return SimulatedCluster.expectedAnswer(this.dispatch.version().toString(), this.dispatch.body())
				.substring(this.sent);
		}

	}

}
