package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LimitShareTests {

	private static final NodeLocation PLACE = new NodeLocation("a", Map.of("a", "north", "b", "north", "c", "south"));

	private static final Replica REPLICA = new Replica(new ReplicaId("engine"), new ServiceName("engines"),
			new Address("10.0.0.1", 80), "b", "v1", 8, false, 1);

	private static List<Peer> peers(int nodes) {
		List<Peer> peers = new ArrayList<>();
		for (int i = 0; i < nodes; i++) {
			peers.add(new Peer(new NodeId("node-" + i), List.of("a", "b", "c").get(i % 3)));
		}
		return peers;
	}

	private static LimitShare share(double perSecond, int node, List<Peer> peers) {
		int position = LimitShare.findNodePosition(REPLICA, new NodeId("node-" + node), peers, PLACE).orElseThrow();
		return LimitShare.of(perSecond, position, peers.size());
	}

	/** Guards against shares that add up to more or less than the limit. */
	@ParameterizedTest
	@CsvSource({ "0.5, 1", "0.5, 4", "1, 31", "1.8, 4", "1.8, 340", "50, 4", "50, 340" })
	void sharesOfAllNodesAddUpToTheLimit(double perSecond, int nodes) {
		List<Peer> peers = peers(nodes);
		double all = 0;
		double bursts = 0;
		for (int i = 0; i < nodes; i++) {
			all += share(perSecond, i, peers).perSecond();
			bursts += share(perSecond, i, peers).burst();
		}
		assertThat(all).isCloseTo(perSecond, within(1e-9));
		assertThat(bursts).isLessThanOrEqualTo(2 * perSecond + 2);
	}

	/**
	 * Guards against a replica that gets no requests as the limit that it names is huge.
	 */
	@ParameterizedTest
	@CsvSource({ "1e18", "1e300" })
	void hugeLimitIsShared(double perSecond) {
		List<Peer> peers = peers(4);
		for (int i = 0; i < 4; i++) {
			assertThat(share(perSecond, i, peers).perSecond()).isEqualTo(perSecond / 4);
		}
	}

	@Test
	void nodesNearestToTheReplicaHaveTheShares() {
		List<Peer> peers = peers(12);
		for (int i = 0; i < 12; i++) {
			boolean sameDataCenter = i % 3 == 1;
			assertThat(share(1, i, peers).perSecond() > 0).isEqualTo(sameDataCenter);
		}
	}

	@Test
	void nodeThatIsNotAmongThePeersHasNoPosition() {
		assertThat(LimitShare.findNodePosition(REPLICA, new NodeId("node-4"), peers(4), PLACE)).isEmpty();
	}

	@Test
	void noNodeHasAShareOfALimitOfZero() {
		assertThat(share(0, 0, peers(4)).perSecond()).isZero();
	}

}
