package org.gullsaddle.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the guarantees by what is visible from outside: answers to callers, requests run
 * by backend servers, the configuration of each node. It does not know how the system
 * decides.
 */
final class Oracle {

	private final List<String> violations = new ArrayList<>();

	private final Map<String, ObservedRequest> requests = new HashMap<>();

	private final Map<String, Integer> runsByKey = new HashMap<>();

	private final Map<String, Set<String>> sessions = new HashMap<>();

	private final Set<String> everWithdrawn = new HashSet<>();

	private final Map<String, Long> revisions = new HashMap<>();

	private final Set<String> deadRuns = new HashSet<>();

	private final Map<String, Integer> crashes = new HashMap<>();

	private final Map<String, Integer> copiesAtCrash = new HashMap<>();

	/**
	 * Records that a caller sends a request.
	 * @param crashKnown whether a report of a crash by this content, if any, has reached
	 * its entry
	 */
	void onRequestSent(String request, String team, String session, String key, String body, boolean crashKnown) {
		if (!crashKnown) {
			// Sent before its entry could know of a crash, so each may crash a backend
			// server.
			this.crashes.computeIfPresent(team + "/" + body, (content, count) -> count - 1);
		}
		this.requests.put(request, new ObservedRequest(team, session, key, body));
	}

	/**
	 * Checks a run that a backend server starts.
	 */
	void onRunStarted(String request, String agent, String version, String resume, AgentView view) {
		ObservedRequest seen = this.requests.get(request);
		seen.runCount++;
		if (!view.isAllowed(seen.team, version)) {
			addViolation("allowed-version", request + " of " + seen.team + " ran on " + version);
		}
		if (view.isWithdrawn(version)) {
			addViolation("withdrawn-version", request + " ran on " + version + " at " + agent);
		}
		if (view.isDraining()) {
			addViolation("leaving", request + " was started at " + agent + " which is leaving");
		}
		if (seen.reportedNotRun) {
			addViolation("not-run-is-true", request + " was started after its caller was told it was not run");
		}
		if (seen.key != null && this.runsByKey.merge(seen.team + "/" + seen.key, 1, Integer::sum) > 1) {
			addViolation("at-most-once", "key " + seen.key + " ran again with " + request);
		}
		if (!SimulatedCluster.expectedAnswer(version, seen.body).startsWith(resume)) {
			addViolation("whole-answer", request + " was resumed from another answer");
		}
	}

	void onChunkDelivered(String request, String version, String text) {
		ObservedRequest seen = this.requests.get(request);
		if (seen.ended) {
			addViolation("one-answer", request + " got a part after its end");
		}
		if (!seen.text.isEmpty() && !seen.version.equals(version)) {
			addViolation("whole-answer", request + " mixes " + seen.version + " and " + version);
		}
		seen.version = version;
		seen.text.append(text);
	}

	void onCompleted(String request, String servedBy) {
		ObservedRequest seen = this.requests.get(request);
		recordEnd(request, seen);
		seen.served = true;
		if (!seen.text.toString().equals(SimulatedCluster.expectedAnswer(servedBy, seen.body))) {
			addViolation("whole-answer", request + " got '" + seen.text + "' from " + servedBy);
		}
		if (seen.runCount == 0 && seen.key == null) {
			addViolation("whole-answer", request + " was answered and never ran");
		}
		if (seen.session != null) {
			Set<String> versions = this.sessions.computeIfAbsent(seen.team + "/" + seen.session,
					(id) -> new HashSet<>());
			versions.add(servedBy);
			long kept = versions.stream().filter((version) -> !this.everWithdrawn.contains(version)).count();
			if (kept > 1) {
				addViolation("session", seen.session + " had " + versions);
			}
		}
	}

	void onRefused(String request, String verdict) {
		ObservedRequest seen = this.requests.get(request);
		recordEnd(request, seen);
		if (verdict.equals("not-run")) {
			seen.reportedNotRun = true;
			if (seen.runCount > 0) {
				addViolation("not-run-is-true", request + " was told not run and ran " + seen.runCount + " times");
			}
		}
	}

	void onCallerLost(String request) {
		this.requests.get(request).ended = true;
	}

	void onVersionWithdrawn(String version) {
		this.everWithdrawn.add(version);
	}

	void onRevisionApplied(String node, long revision) {
		Long before = this.revisions.put(node, revision);
		if (before != null && before > revision) {
			addViolation("never-reverts", node + " went from " + before + " to " + revision);
		}
	}

	/**
	 * Forgets the revision of a node that restarted without state.
	 */
	void onNodeRestarted(String node) {
		this.revisions.remove(node);
	}

	void onAgentDrained(String agent, int running) {
		if (running > 0) {
			addViolation("graceful-stop", agent + " says it is drained and runs " + running);
		}
	}

	/**
	 * Checks the number of backend servers that a team's content crashed. Copies of it
	 * that were already under way may crash more than the two that are allowed.
	 */
	void onBackendCrashed(String team, String body, int otherRuns) {
		String content = team + "/" + body;
		int unanswered = (int) this.requests.values()
			.stream()
			.filter((seen) -> seen.team.equals(team) && seen.body.equals(body) && !seen.ended)
			.count() - 1;
		int count = this.crashes.merge(content, 1, Integer::sum);
		int copies = this.copiesAtCrash.merge(content, Math.max(unanswered, otherRuns), Math::max);
		if (count > 2 + copies) {
			addViolation("poison", content + " killed " + count + " backend servers, with at most " + copies
					+ " other copies under way");
		}
	}

	/**
	 * Discounts a crash: the only node that knew of it died before it could report it.
	 */
	void onCrashReportLost(String content) {
		this.crashes.merge(content, -1, Integer::sum);
	}

	/**
	 * Records that an answer ended while no third node could hold its record, because of
	 * a cut or slow link. The record is lost if both holders die.
	 */
	void onRecordOnTwoNodesOnly(String request) {
		this.requests.get(request).recordOnTwoNodesOnly = true;
	}

	/**
	 * Records that a node holds the data for a request's bill.
	 */
	void onRecordHeld(String request, String run) {
		this.requests.get(request).holders.add(run);
	}

	void onRunDied(String run) {
		this.deadRuns.add(run);
	}

	/**
	 * Checks the bills at the end, after every node has written its records.
	 */
	void checkBills(Map<String, List<Long>> bills) {
		this.requests.forEach((request, seen) -> {
			List<Long> found = bills.getOrDefault(request, List.of());
			if (found.size() > 1) {
				addViolation("billed-once", request + " has " + found.size() + " bills");
			}
			if (seen.served && found.isEmpty() && !seen.isLossPermitted(this.deadRuns)) {
				addViolation("billed-once", request + " was served and has no bill");
			}
			if (seen.reportedNotRun && found.stream().anyMatch((cost) -> cost > 0)) {
				addViolation("billed-once", request + " was not run and is billed " + found);
			}
			if (seen.served && seen.runCount == 1 && !found.isEmpty()
					&& found.get(0) != SimulatedCluster.expectedCostMicros(seen.version, seen.body)) {
				addViolation("billed-once", request + " is billed " + found + " for one run");
			}
		});
	}

	/**
	 * Checks that every caller whose entry lived was answered.
	 */
	void checkAllAnswered() {
		this.requests.forEach((request, seen) -> {
			if (!seen.ended) {
				addViolation("one-answer", request + " never got its final answer");
			}
		});
	}

	List<String> violations() {
		return this.violations;
	}

	private void recordEnd(String request, ObservedRequest seen) {
		if (seen.ended) {
			addViolation("one-answer", request + " got two final answers");
		}
		seen.ended = true;
	}

	private void addViolation(String guarantee, String what) {
		this.violations.add(guarantee + ": " + what);
	}

	/**
	 * The part of an agent that the oracle may see: the configuration that reached it.
	 */
	interface AgentView {

		boolean isAllowed(String team, String version);

		boolean isWithdrawn(String version);

		boolean isDraining();

	}

	private static final class ObservedRequest {

		private final String team;

		private final String session;

		private final String key;

		private final String body;

		private final StringBuilder text = new StringBuilder();

		private final Set<String> holders = new HashSet<>();

		private String version = "";

		private int runCount;

		private boolean ended;

		private boolean served;

		private boolean reportedNotRun;

		private boolean recordOnTwoNodesOnly;

		ObservedRequest(String team, String session, String key, String body) {
			this.team = team;
			this.session = session;
			this.key = key;
			this.body = body;
		}

		/**
		 * Returns whether the guarantee permits the loss of the bill: three holders died,
		 * or two while no third node could be reached.
		 */
		boolean isLossPermitted(Set<String> deadRuns) {
			return deadRuns.containsAll(this.holders) && this.holders.size() >= (this.recordOnTwoNodesOnly ? 2 : 3);
		}

	}

}
