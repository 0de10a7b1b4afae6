package org.gullsaddle.measure;

import java.util.List;
import java.util.Random;

import org.gullsaddle.allowance.AllowanceKey;
import org.gullsaddle.allowance.AllowanceTable;
import org.gullsaddle.allowance.GrantCoordinator;
import org.gullsaddle.allowance.GrantDocument;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.template.Template;

/**
 * How much of an allowance entries can use together, and one of them alone.
 */
final class AllowanceExperiment implements Measure.Experiment {

	private static final TeamId TEAM = new TeamId("a");

	private static final AllowanceKey KEY = new AllowanceKey(Fixture.NAME, TEAM);

	private static final long END = 60_000;

	private GrantDocument document = GrantDocument.EMPTY;

	@Override
	public void run(Report report, long seed) {
		this.document = GrantDocument.EMPTY;
		Template template = Fixture
			.revision("template: t\nversions: [{version: m@v1}]\nteams:\n  a: {requestsPerSecond: 100, "
					+ "concurrent: 50, dollarsPerDay: 1000}\n")
			.template();
		List<Node> nodes = List.of(new Node("e1", template), new Node("e2", template), new Node("e3", template));
		Random random = new Random(seed);
		double most = 0;
		int taken = 0;
		for (long now = 0; now < END; now++) {
			for (int i = 0; i < nodes.size(); i++) {
				// The first entry takes all demand in the second half, the third is idle.
				double wish = (i == 0) ? 0.15 : (i == 1 && now < END / 2) ? 0.15 : 0;
				if (random.nextDouble() < wish && nodes.get(i).take(now) && now >= END - 10_000) {
					taken++;
				}
				if (now % 1000 == i * 300) {
					round(nodes.get(i), now);
				}
			}
			double sum = 0;
			for (Node node : nodes) {
				sum += node.book.share(KEY, now);
			}
			most = Math.max(most, sum);
		}
		report.atMost("allowance", "largest sum of shares in use", most, "of 1", 1 + 1e-9);
		report.atLeast("allowance", "share of the entry with all demand", 100 * nodes.get(0).book.share(KEY, END), "%",
				95);
		report.figure("allowance", "gullsaddle", "requests taken a second of 100", taken / 10.0, "per s");
		report.figure("allowance", "each entry alone", "share of each", 100.0 / nodes.size(), "%");
	}

	private void round(Node node, long now) {
		GrantDocument next = node.keeper.propose(this.document, now, now, now);
		if (next != null) {
			this.document = next;
			node.keeper.onAccepted(now);
		}
	}

	private static final class Node {

		private final AllowanceTable book = new AllowanceTable();

		private final GrantCoordinator keeper;

		Node(String name, Template template) {
			this.book.applyTemplate(template, 0);
			this.keeper = new GrantCoordinator(new NodeId(name), 10_000, this.book);
		}

		boolean take(long now) {
			AllowanceTable.Result result = this.book.acquire(Fixture.NAME, TEAM, 1, now, now);
			result.permit().ifPresent((permit) -> this.book.release(permit, 1));
			return result.permit().isPresent();
		}

	}

}
