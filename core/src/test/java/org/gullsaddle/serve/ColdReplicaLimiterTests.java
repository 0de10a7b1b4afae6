package org.gullsaddle.serve;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class ColdReplicaLimiterTests {

	private static final double PER_SECOND = 5;

	/** What a replica bears in any one second before it crashes. */
	private static final int MAX_REQUESTS_IN_ONE_SECOND = 12;

	private static final Replica REPLICA = new Replica(new ReplicaId("cold"), new ServiceName("engines"),
			new Address("10.0.0.1", 80), "a", "v1", 8, false, 1);

	@Test
	void singleNodeStaysWithinItsShare() {
		ColdReplicaLimiter pace = new ColdReplicaLimiter("node");
		int sent = 0;
		while (pace.canSend(0, REPLICA, PER_SECOND, 1)) {
			pace.onSent(0, REPLICA);
			sent++;
		}
		assertThat(sent).isBetween(1, 2);
	}

	/**
	 * Guards against a herd: nodes that all have requests waiting send them to the same
	 * cold replica at once. Their clocks are apart, and some start again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 4, 31, 100, 340 })
	void nodesTogetherStayWithinTheReplicasLimit(int nodes) {
		for (int seed = 0; seed < 100; seed++) {
			assertThat(maxSentInOneSecond(nodes, nodes, seed)).as("seed " + seed)
				.isLessThanOrEqualTo(MAX_REQUESTS_IN_ONE_SECOND);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 4, 31, 340 })
	void nodesThatUndercountTheirPeersStayWithinTheLimit(int nodes) {
		for (int seed = 0; seed < 100; seed++) {
			assertThat(maxSentInOneSecond(nodes, Math.max(1, nodes * 4 / 5), seed)).as("seed " + seed)
				.isLessThanOrEqualTo(MAX_REQUESTS_IN_ONE_SECOND);
		}
	}

	/**
	 * Guards against a pace so low that a region whose replicas are all cold stands
	 * still.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 4, 31, 340 })
	void replicasReceiveAtLeastAQuarterOfTheirLimit(int nodes) {
		assertThat(simulateSends(nodes, nodes, 1, 60_000)).hasSizeGreaterThan((int) (60 * PER_SECOND / 4));
	}

	private static int maxSentInOneSecond(int nodes, int believed, int seed) {
		Deque<Long> window = new ArrayDeque<>();
		int most = 0;
		for (long at : simulateSends(nodes, believed, seed, 5000)) {
			window.addLast(at);
			while (window.getFirst() <= at - 1000) {
				window.removeFirst();
			}
			most = Math.max(most, window.size());
		}
		return most;
	}

	/**
	 * Lets nodes that always have a request waiting send as soon as they may.
	 */
	private static List<Long> simulateSends(int nodes, int believed, int seed, long millis) {
		Random random = new Random(seed);
		List<ColdReplicaLimiter> paces = new ArrayList<>();
		List<Long> clocks = new ArrayList<>();
		for (int i = 0; i < nodes; i++) {
			paces.add(new ColdReplicaLimiter("node-" + seed + '-' + i));
			clocks.add(random.nextLong(100_000));
		}
		List<Long> sent = new ArrayList<>();
		for (long now = 0; now < millis; now += 20) {
			for (int i = 0; i < nodes; i++) {
				long own = now + clocks.get(i);
				if (paces.get(i).canSend(own, REPLICA, PER_SECOND, believed)) {
					paces.get(i).onSent(own, REPLICA);
					sent.add(now);
				}
			}
		}
		return sent;
	}

}
