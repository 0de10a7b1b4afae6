package org.gullsaddle.allowance;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.template.Templates;

import static org.assertj.core.api.Assertions.assertThat;

class GrantCoordinatorTests {

	private static final long TTL_MILLIS = 1000;

	private static final TeamId BASIC = new TeamId("basic");

	private static final AllowanceKey KEY = new AllowanceKey(Templates.ASSISTANT_NAME, BASIC);

	private GrantDocument document = GrantDocument.EMPTY;

	private void round(Node node, long now) {
		GrantDocument next = node.coordinator.propose(this.document, now, now, now);
		if (next != null) {
			this.document = next;
			node.coordinator.onAccepted(now);
		}
	}

	/**
	 * Guards against shares in use that exceed the allowance when entries read and write
	 * the document at any time, pause between read and write, lose the answers to their
	 * writes, or die.
	 */
	@Property(tries = 300, seed = "3")
	void sharesInUseNeverExceedTheWhole(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
		Random random = new Random(seed);
		List<Node> nodes = List.of(new Node(1), new Node(2), new Node(3));
		this.document = GrantDocument.EMPTY;
		long now = 1;
		for (int step = 0; step < 200; step++) {
			now += random.nextInt(200);
			Node node = nodes.get(random.nextInt(nodes.size()));
			demand(node, random, now);
			if (node.read == null) {
				node.read = this.document;
				node.askedAt = now;
			}
			else {
				write(node, random, now);
			}
			double sum = 0;
			for (Node each : nodes) {
				sum += each.allowances.share(KEY, now);
			}
			assertThat(sum).isLessThanOrEqualTo(1 + 1e-9);
		}
	}

	private void write(Node node, Random random, long now) {
		GrantDocument next = node.coordinator.propose(node.read, node.askedAt, now, now);
		// Compare-and-swap: only a proposal made from the current document is accepted.
		boolean accepted = next != null && node.read == this.document;
		if (accepted) {
			this.document = next;
		}
		if (accepted && random.nextInt(4) > 0) {
			node.coordinator.onAccepted(now);
		}
		else {
			node.coordinator.onNotAccepted();
		}
		node.read = null;
	}

	private static void demand(Node node, Random random, long now) {
		for (int i = random.nextInt(20); i > 0; i--) {
			node.allowances.acquire(Templates.ASSISTANT_NAME, BASIC, 1, now, now).permit().ifPresent((permit) -> {
				if (random.nextBoolean()) {
					node.allowances.release(permit, 1);
				}
			});
		}
	}

	@Test
	void entryWithAllDemandGetsNearlyAll() {
		Node busy = new Node(1);
		Node idle = new Node(2);
		for (long now = 1; now < 5000; now += 100) {
			for (int i = 0; i < 30; i++) {
				busy.allowances.acquire(Templates.ASSISTANT_NAME, BASIC, 1, now, now)
					.permit()
					.ifPresent((permit) -> busy.allowances.release(permit, 1));
			}
			round(busy, now);
			round(idle, now);
		}
		assertThat(busy.allowances.share(KEY, 5000)).isGreaterThanOrEqualTo(0.95);
		assertThat(idle.allowances.share(KEY, 5000)).isPositive();
	}

	@Test
	void shareOfADeadEntryIsReassigned() {
		Node alive = new Node(1);
		Node dead = new Node(2);
		round(dead, 1);
		round(alive, 2);
		double before = alive.allowances.share(KEY, 2);
		for (long now = 100; now < 4 * TTL_MILLIS; now += 100) {
			alive.allowances.acquire(Templates.ASSISTANT_NAME, BASIC, 1, now, now);
			round(alive, now);
		}
		assertThat(alive.allowances.share(KEY, 4 * TTL_MILLIS)).isGreaterThan(before).isGreaterThan(0.9);
	}

	@Test
	void dailyBudgetIsNeverReservedTwice() {
		Node one = new Node(1);
		Node two = new Node(2);
		long spent = 0;
		long maxMicros = 100_000_000;
		for (long now = 1; now < 20_000; now += 20) {
			Node node = (now % 40 == 1) ? one : two;
			round(node, now);
			if (node.allowances.acquire(Templates.ASSISTANT_NAME, BASIC, 300_000, now, now).permit().isPresent()) {
				spent += 300_000;
			}
		}
		assertThat(spent).isLessThanOrEqualTo(maxMicros);
	}

	@Test
	void entryWithoutAGrantRefusesAsStoreUnavailable() {
		Node node = new Node(1);
		assertThat(node.allowances.acquire(Templates.ASSISTANT_NAME, BASIC, 1, 1, 1).refusal().orElseThrow().reason())
			.isEqualTo(RefusalReason.STORE_UNAVAILABLE);
	}

	private static final class Node {

		private final AllowanceTable allowances = new AllowanceTable();

		private final GrantCoordinator coordinator;

		private GrantDocument read;

		private long askedAt;

		Node(int number) {
			this.allowances.applyTemplate(Templates.parse(Templates.ASSISTANT), 0);
			this.coordinator = new GrantCoordinator(new NodeId("entry-" + number), TTL_MILLIS, this.allowances);
		}

	}

}
