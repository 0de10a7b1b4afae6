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

	/** What a replica accepts in any one second before it crashes. */
	private static final int MAX_REQUESTS_IN_ONE_SECOND = 12;

	private static final Replica REPLICA = new Replica(new ReplicaId("cold"), new ServiceName("engines"),
			new Address("10.0.0.1", 80), "a", "v1", 8, false, 1);

	@Test
	void singleNodeStaysWithinItsShare() {
		ColdReplicaLimiter limiter = new ColdReplicaLimiter("node");
		int sent = 0;
		while (limiter.canSend(0, REPLICA, PER_SECOND, 1)) {
			limiter.onSent(0, REPLICA);
			sent++;
		}
		assertThat(sent).isBetween(1, 2);
	}

	/**
	 * Guards against a stampede: nodes that all have requests waiting send them to the
	 * same cold replica at once. Their clocks differ, and some nodes restart.
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
	 * Guards against a limit so low that a region with only cold replicas serves nothing.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 4, 31, 340 })
	void replicasReceiveAtLeastAQuarterOfTheirLimit(int nodes) {
		assertThat(simulateSends(nodes, nodes, 1, 60_000)).hasSizeGreaterThan((int) (60 * PER_SECOND / 4));
	}

	private static int maxSentInOneSecond(int nodes, int assumedNodes, int seed) {
		Deque<Long> window = new ArrayDeque<>();
		int max = 0;
		for (long at : simulateSends(nodes, assumedNodes, seed, 5000)) {
			window.addLast(at);
			while (window.getFirst() <= at - 1000) {
				window.removeFirst();
			}
			max = Math.max(max, window.size());
		}
		return max;
	}

	/**
	 * Simulates nodes that always have a request waiting and send it as soon as they may.
	 */
	private static List<Long> simulateSends(int nodes, int assumedNodes, int seed, long millis) {
		Random random = new Random(seed);
		List<ColdReplicaLimiter> limiters = new ArrayList<>();
		List<Long> clocks = new ArrayList<>();
		for (int i = 0; i < nodes; i++) {
			limiters.add(new ColdReplicaLimiter("node-" + seed + '-' + i));
			clocks.add(random.nextLong(100_000));
		}
		List<Long> sent = new ArrayList<>();
		for (long now = 0; now < millis; now += 20) {
			for (int i = 0; i < nodes; i++) {
				long nodeTime = now + clocks.get(i);
				if (limiters.get(i).canSend(nodeTime, REPLICA, PER_SECOND, assumedNodes)) {
					limiters.get(i).onSent(nodeTime, REPLICA);
					sent.add(now);
				}
			}
		}
		return sent;
	}

}
