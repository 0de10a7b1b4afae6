package org.gullsaddle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.hold.BufferAccount;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.RetryReason;
import org.gullsaddle.serve.Rollout;
import org.gullsaddle.serve.RolloutProgress;
import org.gullsaddle.suspect.Crash;
import org.gullsaddle.suspect.CrashTracker;
import org.gullsaddle.suspect.Trait;

/**
 * Log with one line for each decision on a request and each change of the node's view of
 * the deployment. Its volume is bounded: beyond {@link #MAX_LINES_PER_SECOND} only
 * failures are written, beyond twice that nothing; omitted lines are counted.
 */
final class DecisionLog {

	private static final Logger LOG = LoggerFactory.getLogger("gullsaddle.decisions");

	/**
	 * Lines a second, about 60 KB: ten times the usual requests of a node.
	 */
	private static final int MAX_LINES_PER_SECOND = 200;

	private static final long SECOND_MILLIS = 1000;

	private static final double PERCENT = 100;

	private long windowStart;

	private int lines;

	private int omittedLines;

	void started(String node, String dataCenter) {
		LOG.atInfo().addKeyValue("node", node).addKeyValue("dataCenter", dataCenter).log("started");
	}

	void stopping(int open) {
		LOG.atInfo().addKeyValue("open", open).log("stopping");
	}

	void stopped(int open) {
		LOG.atInfo().addKeyValue("cutOff", open).addKeyValue("linesLeftOut", this.omittedLines).log("stopped");
	}

	void callersNotClosed(String reason) {
		LOG.atWarn().addKeyValue("reason", reason).log("callers' connections not closed");
	}

	void stepFailed(String step, Throwable failure) {
		LOG.atError().addKeyValue("step", step).setCause(failure).log("step failed");
	}

	void reloaded(String what) {
		LOG.atInfo().addKeyValue("changed", what).log("settings reloaded");
	}

	void dependencyLost(String dependency, String reason, long age) {
		LOG.atWarn()
			.addKeyValue("dependency", dependency)
			.addKeyValue("reason", reason)
			.addKeyValue("lastHeardMillis", age)
			.log("dependency lost");
	}

	void dependencyRegained(String dependency, long now) {
		LOG.atInfo().addKeyValue("dependency", dependency).log("dependency regained");
	}

	void storeCallFailed(String call, long millis, String reason) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("call", call)
				.addKeyValue("millis", millis)
				.addKeyValue("reason", reason)
				.log("store call failed");
		}
	}

	/**
	 * Logs an update that was slow to arrive or to apply.
	 * @param askedMillis time since the store was called, in milliseconds
	 * @param tookMillis how long applying took, in milliseconds
	 */
	void slowUpdate(int changes, long revision, long askedMillis, long tookMillis) {
		if (shouldWrite(false)) {
			LOG.atInfo()
				.addKeyValue("changes", changes)
				.addKeyValue("revision", revision)
				.addKeyValue("askedMillis", askedMillis)
				.addKeyValue("tookMillis", tookMillis)
				.log("slow news");
		}
	}

	void fleetChange(FleetChange change, long revision, long askedMillis) {
		if (!shouldWrite(false)) {
			return;
		}
		LoggingEventBuilder line = LOG.atInfo()
			.addKeyValue("revision", revision)
			.addKeyValue("askedMillis", askedMillis);
		switch (change) {
			case FleetChange.Configured configured ->
				line.addKeyValue("version", configured.config().version()).log("configuration in force");
			case FleetChange.Listed listed -> line.addKeyValue("replica", listed.replica().id().value())
				.addKeyValue("service", listed.replica().service().value())
				.addKeyValue("address", listed.replica().address().toString())
				.addKeyValue("release", listed.replica().release())
				.addKeyValue("startedAt", listed.replica().startedAt())
				.addKeyValue("draining", listed.replica().draining())
				.addKeyValue("coldMillis", listed.coldMillis())
				.log("replica listed");
			case FleetChange.Unlisted unlisted ->
				line.addKeyValue("replica", unlisted.id().value()).log("replica unlisted");
			case FleetChange.RolloutOrdered ordered -> line.addKeyValue("service", ordered.order().service().value())
				.addKeyValue("target", ordered.order().target())
				.addKeyValue("durationMillis", ordered.order().durationMillis())
				.log("roll-out ordered");
			case FleetChange.RolloutProgressed progressed -> line.addKeyValue("service", progressed.service().value())
				.addKeyValue("target", progressed.target())
				.addKeyValue("state", progressed.state().name())
				.log("roll-out progressed");
			case FleetChange.EvacuationBegan began ->
				line.addKeyValue("dataCenter", began.dataCenter()).log("evacuation began");
			case FleetChange.EvacuationEnded ended ->
				line.addKeyValue("dataCenter", ended.dataCenter()).log("evacuation ended");
			case FleetChange.NoteWritten noted -> line.addKeyValue("key", noted.key()).log("note taken in");
			case FleetChange.ConfigUnreadable unreadable -> unreadableRecord("configuration", unreadable.reason());
			case FleetChange.EntryUnreadable unreadable -> unreadableRecord(unreadable.key(), unreadable.reason());
			case FleetChange.RecordUnreadable unreadable -> unreadableRecord(unreadable.key(), unreadable.reason());
		}
	}

	void unreadableRecord(String key, String reason) {
		if (shouldWrite(true)) {
			LOG.atInfo().addKeyValue("key", key).addKeyValue("reason", reason).log("unreadable record skipped");
		}
	}

	void trialNotDecided(CrashTracker.Trial trial, String reason) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("trait", trial.trait().value())
				.addKeyValue("reason", reason)
				.log("trial not decided");
		}
	}

	void rolloutStateWritten(long now, Rollout rollout, RolloutState state, String outcome) {
		LOG.atInfo()
			.addKeyValue("service", rollout.order().service().value())
			.addKeyValue("target", rollout.order().target())
			.addKeyValue("state", state.name())
			.addKeyValue("evidence", rollout.strongestEvidence())
			.addKeyValue("paceEvidence", rollout.pace())
			.addKeyValue("answers", rollout.answerCount())
			.addKeyValue("proofLacks", rollout.proofGap(now))
			.addKeyValue("outcome", outcome)
			.log("roll-out state written");
	}

	void rolloutShare(Rollout rollout, RolloutProgress progress) {
		LOG.atInfo()
			.addKeyValue("service", rollout.order().service().value())
			.addKeyValue("target", rollout.order().target())
			.addKeyValue("part", progress.elapsedRatio())
			.addKeyValue("share", progress.share())
			.addKeyValue("evidence", rollout.strongestEvidence())
			.addKeyValue("answers", rollout.answerCount())
			.addKeyValue("sent", progress.sent())
			.addKeyValue("sentToTarget", progress.sentToTarget())
			.addKeyValue("triedLoad", progress.triedLoad())
			.addKeyValue("formerLoad", progress.oldLoad())
			.addKeyValue("answersUnderLoad", progress.answersUnderLoad())
			.addKeyValue("provedMillis", progress.provedMillis())
			.log("roll-out share");
	}

	void attempt(ServedRequest request, Attempt attempt, String model, String end, long millis, StreamTiming stream,
			boolean failure) {
		if (shouldWrite(failure)) {
			ReplicaChoice choice = attempt.choice();
			Optional<LoadReport> reportedLoad = Optional.ofNullable(attempt.answer()).flatMap(ReplicaAnswer::load);
			LOG.atInfo()
				.addKeyValue("id", request.id())
				.addKeyValue("parts", request.caller().prompt().sharedPartIds())
				.addKeyValue("content", request.contentHash().toString())
				.addKeyValue("releaseKey", request.releaseKey().value())
				.addKeyValue("confidence", attempt.confidence())
				.addKeyValue("replica", choice.replica().id().value())
				.addKeyValue("dataCenter", choice.replica().dataCenter())
				.addKeyValue("coldMillis", attempt.coldMillis())
				.addKeyValue("release", choice.replica().release())
				.addKeyValue("model", model)
				.addKeyValue("unreadTokens", choice.unreadTokens())
				.addKeyValue("expectedMillis", Math.round(choice.delay().expectedMillis()))
				.addKeyValue("deviationMillis", Math.round(choice.delay().deviationMillis()))
				.addKeyValue("expectedLoss", Math.round(PERCENT * choice.loss()))
				.addKeyValue("pacePercent", Math.round(PERCENT * choice.slowdown().factor()))
				.addKeyValue("load", choice.load().requests())
				.addKeyValue("toldRunning", reportedLoad.map(LoadReport::running).orElse(-1))
				.addKeyValue("toldWaiting", reportedLoad.map(LoadReport::waiting).orElse(-1))
				.addKeyValue("end", end)
				.addKeyValue("millis", millis)
				.addKeyValue("firstEventMillis", stream.hasBegun() ? stream.firstEventMillis(0) : -1)
				.addKeyValue("longestGapMillis", stream.longestGapMillis())
				.log("attempt");
		}
	}

	void answerDoubted(String id, String model, int confidence, double enough, String larger, String reasonKept) {
		if (shouldWrite(false)) {
			LOG.atInfo()
				.addKeyValue("id", id)
				.addKeyValue("model", model)
				.addKeyValue("confidence", confidence)
				.addKeyValue("enough", Math.round(enough))
				.addKeyValue("larger", larger)
				.addKeyValue("outcome", reasonKept.isEmpty() ? "dropped" : "kept")
				.addKeyValue("reason", reasonKept)
				.log("answer doubted");
		}
	}

	/**
	 * Logs whether the retry budget allowed another attempt.
	 * @param saved the retries that are left
	 */
	void retry(String id, ServiceName service, RetryReason reason, String outcome, int saved) {
		if (shouldWrite(false)) {
			LOG.atInfo()
				.addKeyValue("id", id)
				.addKeyValue("service", service.value())
				.addKeyValue("reason", reason.label())
				.addKeyValue("outcome", outcome)
				.addKeyValue("saved", saved)
				.log("retry");
		}
	}

	void loadProbeFailed(ReplicaId replica, String reason) {
		if (shouldWrite(false)) {
			LOG.atInfo()
				.addKeyValue("replica", replica.value())
				.addKeyValue("reason", reason)
				.log("engine did not tell its load");
		}
	}

	void replicaSilent(String id, ReplicaId replica, String outcome, String reason) {
		if (shouldWrite(false)) {
			LOG.atInfo()
				.addKeyValue("id", id)
				.addKeyValue("replica", replica.value())
				.addKeyValue("outcome", outcome)
				.addKeyValue("reason", reason)
				.log("replica silent");
		}
	}

	void rateLimitChanged(ReplicaId replica, OptionalDouble perSecond, String source) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("replica", replica.value())
				.addKeyValue("perSecond", perSecond.orElse(-1))
				.addKeyValue("source", source)
				.log(perSecond.isPresent() ? "replica names a rate limit" : "replica's rate limit ended");
		}
	}

	void replicaLeaving(ReplicaId replica) {
		if (shouldWrite(true)) {
			LOG.atInfo().addKeyValue("replica", replica.value()).log("replica says that it leaves");
		}
	}

	void backoffRequested(ReplicaId replica, long millis) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("replica", replica.value())
				.addKeyValue("millis", millis)
				.log("replica asks for rest");
		}
	}

	void answerReadAhead(BufferAccount account, long pausedMillis) {
		if (shouldWrite(false)) {
			LOG.atInfo()
				.addKeyValue("id", account.id())
				.addKeyValue("heldBytes", account.bufferedBytes())
				.addKeyValue("pausedMillis", pausedMillis)
				.log("slow caller's answer read on");
		}
	}

	/**
	 * Logs connections that were refused or closed.
	 * @param count how many since the last line with the same reason
	 */
	void connectionsRejected(String reason, int count) {
		if (shouldWrite(true)) {
			LOG.atInfo().addKeyValue("reason", reason).addKeyValue("count", count).log("connections rejected");
		}
	}

	void transferAborted(BufferAccount account, String what, double secondsToEmpty, long held) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("id", account.id())
				.addKeyValue("what", what)
				.addKeyValue("heldBytes", account.bufferedBytes())
				.addKeyValue("secondsToEmpty", Double.isFinite(secondsToEmpty) ? Math.round(secondsToEmpty) : -1)
				.addKeyValue("heldInAll", held)
				.log("given up for memory");
		}
	}

	void nodeSuspended(long millis) {
		LOG.atWarn().addKeyValue("millis", millis).log("was suspended");
	}

	void nodeStalled(long millis, int open) {
		LOG.atWarn().addKeyValue("millis", millis).addKeyValue("open", open).log("stood still");
	}

	/**
	 * Logs that a replica's process has ended while it ran requests.
	 * @param how what showed it
	 */
	void replicaEnded(Crash crash, long now, String how) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("process", crash.processName())
				.addKeyValue("how", how)
				.addKeyValue("ageMillis", now - crash.at())
				.addKeyValue("parts", crash.parts())
				.addKeyValue("contents", crash.contents())
				.log("replica ended");
		}
	}

	void traitBlocked(Trait trait, CrashTracker crashTracker, String source) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("trait", trait.value())
				.addKeyValue("source", source)
				.addKeyValue("crashes", crashTracker.crashCount(trait))
				.addKeyValue("soundBefore", crashTracker.hasSuccessWithEach(List.of(trait)))
				.log("refused for crashes");
		}
	}

	void traitUnblocked(Trait trait, String source) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("trait", trait.value())
				.addKeyValue("source", source)
				.log("refused for crashes no more");
		}
	}

	void trialAdmitted(CrashTracker.Trial trial, String id) {
		if (shouldWrite(true)) {
			LOG.atInfo()
				.addKeyValue("trait", trial.trait().value())
				.addKeyValue("number", trial.number())
				.addKeyValue("id", id)
				.log("let through to try");
		}
	}

	void request(RequestLine request) {
		if (shouldWrite(!request.outcome().equals("served"))) {
			LOG.atInfo()
				.addKeyValue("id", request.id())
				.addKeyValue("route", request.route())
				.addKeyValue("team", request.team())
				.addKeyValue("content", request.content())
				.addKeyValue("outcome", request.outcome())
				.addKeyValue("status", request.status())
				.addKeyValue("reason", request.reason())
				.addKeyValue("verdict", request.verdict())
				.addKeyValue("attempts", request.attempts())
				.addKeyValue("overShare", request.overShare())
				.addKeyValue("toldMillis", request.retryAfterMillis())
				.addKeyValue("objectiveMillis", request.objectiveMillis())
				.addKeyValue("configVersion", request.configVersion())
				.addKeyValue("fleetAgeMillis", request.fleetAgeMillis())
				.addKeyValue("millis", request.millis())
				.log("request");
		}
	}

	/**
	 * Returns the number of lines omitted since the start.
	 */
	int omittedLines() {
		return this.omittedLines;
	}

	private boolean shouldWrite(boolean urgent) {
		long now = MonotonicClock.millis();
		if (now - this.windowStart >= SECOND_MILLIS) {
			this.windowStart = now;
			this.lines = 0;
		}
		this.lines++;
		boolean allowed = this.lines <= (urgent ? 2 * MAX_LINES_PER_SECOND : MAX_LINES_PER_SECOND);
		if (!allowed) {
			this.omittedLines++;
		}
		return allowed;
	}

	/**
	 * Values of the log line at the end of a request.
	 *
	 * @param id the caller's id of it
	 * @param route its route, empty if none matched
	 * @param team its team, empty if it presented no API key
	 * @param content the hash of its team and content, empty if no route matched
	 * @param outcome {@code served}, {@code refused}, {@code failed} or {@code left}
	 * @param status the status sent to the caller, 0 for none
	 * @param reason short reason
	 * @param verdict whether it may have run
	 * @param attempts how many replicas it was sent to
	 * @param overShare whether its team sent more than its share, so that it waited
	 * behind other requests of its rank
	 * @param retryAfterMillis retry delay sent to the caller, negative if none
	 * @param objectiveMillis objective of its route, 0 if no route matched
	 * @param configVersion version of the configuration in force
	 * @param fleetAgeMillis time since the platform was last read
	 * @param millis its duration
	 */
	record RequestLine(String id, String route, String team, String content, String outcome, int status, String reason,
			String verdict, int attempts, boolean overShare, long retryAfterMillis, long objectiveMillis,
			long configVersion, long fleetAgeMillis, long millis) {
	}

}
