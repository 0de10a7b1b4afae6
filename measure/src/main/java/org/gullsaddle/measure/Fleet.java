package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.HdrHistogram.Histogram;

import org.gullsaddle.agent.Admission;
import org.gullsaddle.agent.AdmissionAction;
import org.gullsaddle.agent.AdmissionEvent;
import org.gullsaddle.agent.AdmissionSettings;
import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.Router;
import org.gullsaddle.route.RouterAction;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.route.RouterSettings;
import org.gullsaddle.template.TemplateRevision;

/**
 * Two entries' routers and some agents' admissions on a virtual clock. A backend server
 * is a time that an attempt takes; there is no network.
 */
final class Fleet {

	private static final ModelVersion VERSION = ModelVersion.of("m@v1");

	private static final int SLOTS = 8;

	private final Timeline time = new Timeline();

	private final List<Router> entries = new ArrayList<>();

	private final Map<NodeId, Admission> agents = new LinkedHashMap<>();

	private final Map<RequestId, Call> calls = new HashMap<>();

	private final Random random;

	private final Policy policy;

	private final List<NodeId> order = new ArrayList<>();

	private final Map<NodeId, Integer> outstanding = new HashMap<>();

	private final Map<NodeId, Integer> reported = new HashMap<>();

	private final Map<NodeId, Map<Long, Long>> caches = new HashMap<>();

	private final int broken;

	private long arrivals;

	private int turn;

	int sends;

	int cacheHits;

	final Histogram firstToken = new Histogram(3_600_000, 3);

	final Histogram refusalWait = new Histogram(3_600_000, 3);

	final Map<TeamId, int[]> served = new HashMap<>();

	/**
	 * Makes a fleet.
	 * @param agentCount how many agents
	 * @param brokenCount how many of their backend servers fail everything
	 */
	Fleet(TemplateRevision template, Policy policy, int agentCount, int brokenCount, long seed) {
		this.random = new Random(seed);
		this.policy = policy;
		this.broken = brokenCount;
		for (int i = 0; i < 2; i++) {
			Router router = new Router(RouterSettings.builder("w", "w1").spotCheckRatio(0).build(),
					new Random(seed + i));
			router.handle(moment(), new RouterEvent.TemplateChanged(template));
			this.entries.add(router);
		}
		for (int i = 0; i < agentCount; i++) {
			NodeId id = new NodeId("agent-" + i);
			Admission admission = new Admission(new AdmissionSettings(id, 64, 2000));
			admission.handle(moment(), new AdmissionEvent.TemplateChanged(template));
			admission.handle(moment(), new AdmissionEvent.BackendUp(Set.of(VERSION), SLOTS));
			this.agents.put(id, admission);
			this.order.add(id);
			this.outstanding.put(id, 0);
			this.reported.put(id, 0);
			this.caches.put(id, new LinkedHashMap<>());
			AgentInfo info = new AgentInfo(id, "w", "w1", Set.of(VERSION), new LoadReport(0, 0, SLOTS));
			this.entries.forEach((entry) -> entry.handle(moment(), new RouterEvent.AgentUp(info)));
		}
		report();
	}

	/**
	 * Lets a request arrive.
	 * @param time when, in milliseconds
	 * @param serviceMillis how long it runs
	 * @param prefix what its prompt starts with
	 */
	void arrive(long time, TeamId team, long serviceMillis, long deadlineMillis, long prefix) {
		at(time, () -> {
			this.arrivals++;
			RequestId id = new RequestId("r" + this.arrivals);
			this.calls.put(id, new Call(team, time, serviceMillis, prefix));
			this.served.computeIfAbsent(team, (missing) -> new int[2])[1]++;
			IncomingRequest request = IncomingRequest.builder(id, team, Fixture.NAME)
				.deadline(time + deadlineMillis)
				.prefixHash(prefix)
				.build();
			entry(id, new RouterEvent.RequestArrived(request));
		});
	}

	void run() {
		this.time.run();
	}

	double goodput(TeamId team) {
		int[] counts = this.served.get(team);
		return (double) counts[0] / counts[1];
	}

	int servedInAll() {
		return this.served.values().stream().mapToInt((counts) -> counts[0]).sum();
	}

	private void entry(RequestId request, RouterEvent event) {
		Router router = this.entries.get(Math.floorMod(request.hashCode(), this.entries.size()));
		for (RouterAction action : router.handle(moment(), event)) {
			carryOut(request, action);
		}
	}

	private void carryOut(RequestId request, RouterAction action) {
		Call call = this.calls.get(request);
		switch (action) {
			case RouterAction.Send send -> {
				this.sends++;
				NodeId agent = pick(send.agent());
				this.outstanding.merge(agent, 1, Integer::sum);
				agent(agent, new AdmissionEvent.Dispatched(new NodeId("entry"), send.dispatch(),
						send.dispatch().deadline()));
			}
			case RouterAction.Complete complete -> this.served.get(call.team())[0]++;
			case RouterAction.Refuse refuse -> this.refusalWait.recordValue(Math.max(0, now() - call.arrival()));
			default -> {
				// nothing else matters here
			}
		}
	}

	/**
	 * Returns the agent that the policy under test takes; the router's own choice is
	 * ours.
	 */
	private NodeId pick(NodeId ours) {
		return switch (this.policy) {
			case GULLSADDLE -> ours;
			case RANDOM -> this.order.get(this.random.nextInt(this.order.size()));
			case ROUND_ROBIN -> this.order.get(this.turn++ % this.order.size());
			case LEAST_LOADED_BY_REPORT -> least(this.reported);
			case ORACLE -> least(this.outstanding);
		};
	}

	private NodeId least(Map<NodeId, Integer> load) {
		return this.order.stream().min(Comparator.comparingInt(load::get)).orElseThrow();
	}

	private void agent(NodeId id, AdmissionEvent event) {
		for (AdmissionAction action : this.agents.get(id).handle(moment(), event)) {
			switch (action) {
				case AdmissionAction.Start start -> start(id, start.dispatch().attempt());
				case AdmissionAction.Refuse refuse -> {
					this.outstanding.merge(id, -1, Integer::sum);
					soon(() -> entry(refuse.attempt().request(),
							new RouterEvent.AttemptRefused(refuse.attempt(), refuse.refusal())));
				}
				case AdmissionAction.SendDone done -> soon(() -> entry(done.attempt().request(),
						new RouterEvent.AttemptDone(done.attempt(), done.completion(), done.length())));
				case AdmissionAction.SendFailed failed -> soon(() -> entry(failed.attempt().request(),
						new RouterEvent.AttemptFailed(failed.attempt(), failed.verdict(), false, Usage.NONE)));
				default -> {
					// nothing else matters here
				}
			}
		}
	}

	private void start(NodeId id, AttemptId attempt) {
		Call call = this.calls.get(attempt.request());
		boolean hit = this.caches.get(id).put(call.prefix(), now()) != null;
		if (this.caches.get(id).size() > 20) {
			this.caches.get(id).remove(this.caches.get(id).keySet().iterator().next());
		}
		this.cacheHits += hit ? 1 : 0;
		long prefill = hit ? 20 : 120;
		this.firstToken.recordValue(now() - call.arrival() + prefill);
		boolean fails = this.order.indexOf(id) < this.broken;
		at(now() + (fails ? 50 : prefill + call.serviceMillis()), () -> {
			this.outstanding.merge(id, -1, Integer::sum);
			agent(id, fails ? new AdmissionEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, false, Usage.NONE)
					: new AdmissionEvent.AttemptDone(attempt, new Completion(200, "", "stop", new Usage(1, 1))));
		});
	}

	/**
	 * Reports reach the entries two seconds late, and come each second.
	 */
	private void report() {
		for (NodeId id : this.order) {
			LoadReport load = this.agents.get(id).load();
			int truth = this.outstanding.get(id);
			at(now() + 2000, () -> {
				this.reported.put(id, truth);
				this.entries.forEach((entry) -> entry.handle(moment(), new RouterEvent.AgentLoadReported(id, load)));
			});
		}
		if (now() < 600_000 && (now() < 10_000 || !this.time.isEmpty())) {
			at(now() + 1000, this::report);
		}
	}

	private void soon(Runnable action) {
		at(now() + 1, action);
	}

	private void at(long time, Runnable action) {
		this.time.at(time, action);
	}

	private long now() {
		return (long) this.time.now();
	}

	private Moment moment() {
		return Moment.at(now());
	}

	/**
	 * How an agent is picked.
	 */
	enum Policy {

		GULLSADDLE, RANDOM, ROUND_ROBIN, LEAST_LOADED_BY_REPORT, ORACLE

	}

	private record Call(TeamId team, long arrival, long serviceMillis, long prefix) {
	}

}
