package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;

import org.gullsaddle.agent.Admission;
import org.gullsaddle.agent.AdmissionEvent;
import org.gullsaddle.agent.AdmissionSettings;
import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.Router;
import org.gullsaddle.route.RouterAction;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.route.RouterSettings;
import org.gullsaddle.template.TemplateRevision;

/**
 * What the core costs: processor time of a request and of a part of an answer against the
 * number of agents known, and memory of what is kept, each at several sizes with a line
 * through them.
 */
final class CapacityExperiment implements Measure.Experiment {

	private static final ModelVersion VERSION = ModelVersion.of("m@v1");

	private static final int REQUESTS = 3000;

	private static final int PARTS = 20;

	@Override
	public void run(Report report, long seed) {
		TemplateRevision template = Fixture
			.revision("template: t\nversions: [{version: m@v1}]\nteams:\n" + Fixture.team("a", 1, 0));
		routing(template, 100, seed);
		List<double[]> perRequest = new ArrayList<>();
		for (int agents : new int[] { 10, 100, 400, 1000 }) {
			double micros = routing(template, agents, seed);
			perRequest.add(new double[] { agents, micros });
			report.figure("capacity", "entry", "time of a request, " + agents + " agents", micros, "us");
		}
		line(report, "entry", "time of a request", "us", perRequest);
		List<double[]> open = new ArrayList<>();
		for (int requests : new int[] { 2000, 4000, 8000 }) {
			open.add(new double[] { requests, openMemory(template, requests, seed) });
		}
		line(report, "entry", "memory of open requests", "bytes", open);
		List<double[]> known = new ArrayList<>();
		for (int agents : new int[] { 1000, 4000, 12_000 }) {
			known.add(new double[] { agents, agentMemory(template, agents, seed) });
		}
		line(report, "entry", "memory of agents known", "bytes", known);
		report.figure("capacity", "agent", "time of an attempt", admission(template), "us");
	}

	private static double routing(TemplateRevision template, int agents, long seed) {
		Router router = router(template, agents, seed);
		long start = System.nanoTime();
		for (int i = 0; i < REQUESTS; i++) {
			AttemptId attempt = send(router, "r" + i, i);
			for (int part = 0; part < PARTS; part++) {
				router.handle(Moment.at(i), new RouterEvent.AttemptChunk(attempt, part * 5L, " word"));
			}
			router.handle(Moment.at(i), new RouterEvent.AttemptDone(attempt,
					new Completion(200, "", "stop", new Usage(1, PARTS)), PARTS * 5L));
		}
		return (System.nanoTime() - start) / 1000.0 / REQUESTS;
	}

	private static AttemptId send(Router router, String id, long prefix) {
		IncomingRequest request = IncomingRequest.builder(new RequestId(id), new TeamId("a"), Fixture.NAME)
			.deadline(Long.MAX_VALUE)
			.prefixHash(prefix)
			.body("a body of some length")
			.build();
		for (RouterAction action : router.handle(Moment.at(prefix), new RouterEvent.RequestArrived(request))) {
			if (action instanceof RouterAction.Send send) {
				return send.dispatch().attempt();
			}
		}
		throw new IllegalStateException("not sent");
	}

	private static Router router(TemplateRevision template, int agents, long seed) {
		Router router = new Router(RouterSettings.builder("w", "w1").spotCheckRatio(0).build(), new Random(seed));
		router.handle(Moment.at(0), new RouterEvent.TemplateChanged(template));
		for (int i = 0; i < agents; i++) {
			router.handle(Moment.at(0), new RouterEvent.AgentUp(
					new AgentInfo(new NodeId("agent-" + i), "w", "w1", Set.of(VERSION), new LoadReport(0, 0, 64))));
		}
		return router;
	}

	private static double openMemory(TemplateRevision template, int requests, long seed) {
		Router router = router(template, 10, seed);
		long before = used();
		for (int i = 0; i < requests; i++) {
			send(router, "r" + i, i);
		}
		long after = used();
		// Keeps the router alive until it was measured.
		return (router.openRequestCount() == requests) ? after - before : Double.NaN;
	}

	private static double agentMemory(TemplateRevision template, int agents, long seed) {
		long before = used();
		Router router = router(template, agents, seed);
		long after = used();
		return (router.openRequestCount() == 0) ? after - before : Double.NaN;
	}

	private static long used() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	private static double admission(TemplateRevision template) {
		Admission admission = new Admission(AdmissionSettings.of(new NodeId("agent-1")));
		admission.handle(Moment.at(0), new AdmissionEvent.TemplateChanged(template));
		admission.handle(Moment.at(0), new AdmissionEvent.BackendUp(Set.of(VERSION), 8));
		NodeId entry = new NodeId("entry-1");
		long start = 0;
		for (int i = 0; i < 4 * REQUESTS; i++) {
			if (i == REQUESTS) {
				start = System.nanoTime();
			}
			AttemptId attempt = new AttemptId(new RequestId("r" + i), 1);
			admission.handle(Moment.at(i),
					new AdmissionEvent.Dispatched(entry, new Dispatch(attempt, new TeamId("a"), Fixture.NAME, 1,
							VERSION, false, 1, 1, 0, true, false, new Fingerprint("f" + i), "", "body"),
							Long.MAX_VALUE));
			for (int part = 0; part < PARTS; part++) {
				admission.handle(Moment.at(i), new AdmissionEvent.AttemptChunk(attempt, " word"));
			}
			admission.handle(Moment.at(i),
					new AdmissionEvent.AttemptDone(attempt, new Completion(200, "", "stop", new Usage(1, PARTS))));
		}
		return (System.nanoTime() - start) / 1000.0 / (3 * REQUESTS);
	}

	/**
	 * Fits a line by least squares and shows it with its largest error.
	 */
	private static void line(Report report, String role, String what, String unit, List<double[]> points) {
		double n = points.size();
		double sumX = points.stream().mapToDouble((p) -> p[0]).sum();
		double sumY = points.stream().mapToDouble((p) -> p[1]).sum();
		double sumXy = points.stream().mapToDouble((p) -> p[0] * p[1]).sum();
		double sumXx = points.stream().mapToDouble((p) -> p[0] * p[0]).sum();
		double slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
		double base = (sumY - slope * sumX) / n;
		double error = points.stream()
			.mapToDouble((p) -> Math.abs(base + slope * p[0] - p[1]) / Math.abs(p[1]))
			.max()
			.orElse(0);
		String fit = String.format(Locale.ROOT, "%s, slope (fit within %.0f%%)", what, 100 * error);
		report.figure("capacity", role, fit, slope, unit);
		report.figure("capacity", role, what + ", at none", base, unit);
	}

}
