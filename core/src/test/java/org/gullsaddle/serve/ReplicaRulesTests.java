package org.gullsaddle.serve;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.ColdStart;
import org.gullsaddle.fleet.RegionLimit;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaDirectory;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.ReplicaRules.NoReplica;
import org.gullsaddle.serve.ReplicaRules.Wanted;
import org.gullsaddle.suspect.CrashTracker;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaRulesTests {

	private static final NodeId NODE = new NodeId("node");

	private static final ServiceName ENGINES = new ServiceName("engines");

	private static final ColdStart COLD_START = new ColdStart(20);

	private static final ReleaseKey KEY = new ReleaseKey("request", false);

	private final ReplicaDirectory directory = new ReplicaDirectory();

	private final Place place = new Place("a", Map.of("a", "north", "b", "north", "c", "south"));

	private final BackpressureBook book = new BackpressureBook(NODE, this.place,
			() -> Optional.of(List.of(new Peer(NODE, "a"))), new Random(1));

	private final ReplicaRules rules = new ReplicaRules(this.directory, this.place, new ColdPace("node"), this.book,
			new CrashTracker());

	private static Replica replica(String dataCenter, String release) {
		return new Replica(new ReplicaId(dataCenter + '-' + release), ENGINES, new Address("10.0.0.1", 80), dataCenter,
				release, 8, false, 1);
	}

	private static Wanted wanted(RegionLimit limit) {
		return new Wanted(ENGINES, limit, COLD_START, Optional.of(1), Optional.empty(), KEY, List.of());
	}

	private static RegionLimit limit(String regions) {
		return RegionLimit.of(words(regions));
	}

	private static List<String> words(String text) {
		return (text != null) ? Arrays.asList(text.split(" ")) : List.of();
	}

	private String usable(Wanted wanted) {
		return this.rules.usable(0, wanted, Set.of())
			.stream()
			.map((replica) -> replica.id().value())
			.collect(Collectors.joining(" "));
	}

	@BeforeEach
	void listReplicas() {
		List.of("a", "b", "c").forEach((dataCenter) -> this.directory.onListed(replica(dataCenter, "v1")));
	}

	/**
	 * Guards against a cold replica of a region that is not allowed, which serves
	 * nothing.
	 */
	@Test
	void onlyColdReplicasThatMayServeTheRequestCount() {
		this.directory.onColdReport(0, replica("c", "v1"), 1000);
		assertThat(this.rules.anyCold(0, wanted(RegionLimit.ANYWHERE))).isTrue();
		assertThat(this.rules.anyCold(0, wanted(limit("north")))).isFalse();
		assertThat(this.rules.anyCold(2000, wanted(RegionLimit.ANYWHERE))).isFalse();
	}

	/** Guards against a way past one rule where another one binds too. */
	@ParameterizedTest
	@CsvSource({ "'', '', '', a-v1 b-v1 c-v1", "north, '', '', a-v1 b-v1", "south, '', '', c-v1", "west, '', '', ''",
			"'', a, '', b-v1 c-v1", "'', a c, '', b-v1", "'', a b c, '', ''", "south, c, '', ''",
			"north, c, '', a-v1 b-v1", "'', '', a, b-v1 c-v1", "north, a, b, b-v1", "south, '', c, c-v1",
			"north, a b, a b, ''", "'', nowhere, '', a-v1 b-v1 c-v1" })
	void regionsEvacuationsAndColdReplicasBindTogether(String regions, String evacuated, String cold, String expected) {
		words(evacuated.isEmpty() ? null : evacuated).forEach(this.directory::evacuate);
		words(cold.isEmpty() ? null : cold)
			.forEach((dataCenter) -> this.directory.onColdReport(0, replica(dataCenter, "v1"), 1000));
		assertThat(usable(wanted(limit(regions.isEmpty() ? null : regions)))).isEqualTo(expected);
	}

	@Nested
	class WhereThereIsNoReplica {

		private NoReplica why(RegionLimit limit) {
			return ReplicaRulesTests.this.rules.whyNone(0, wanted(limit));
		}

		@Test
		void anEvacuationIsTold() {
			ReplicaRulesTests.this.directory.evacuate("c");
			assertThat(why(limit("south"))).isEqualTo(NoReplica.EVACUATED);
		}

		@Test
		void aRegionWithoutReplicasIsTold() {
			assertThat(why(limit("west"))).isEqualTo(NoReplica.OTHER_REGION);
		}

		@Test
		void anEmptyRegistryIsTold() {
			List.of("a", "b", "c")
				.forEach(
						(dataCenter) -> ReplicaRulesTests.this.directory.onUnlisted(0, replica(dataCenter, "v1").id()));
			assertThat(why(RegionLimit.ANYWHERE)).isEqualTo(NoReplica.NONE);
		}

		@Test
		void coldReplicasAreTold() {
			ReplicaRulesTests.this.directory.onColdReport(0, replica("c", "v1"), 1000);
			assertThat(why(limit("south"))).isEqualTo(NoReplica.COLD);
		}

	}

	@Nested
	class WhereAllReplicasAreCold {

		private final Wanted south = wanted(limit("south"));

		private final Replica cold = replica("c", "v1");

		@BeforeEach
		void coolDown() {
			ReplicaRulesTests.this.directory.onColdReport(0, this.cold, 1000);
		}

		@Test
		void theyGetNoMoreThanTheyBear() {
			int sent = 0;
			while (!ReplicaRulesTests.this.rules.usable(0, this.south, Set.of()).isEmpty()) {
				ReplicaRulesTests.this.rules.sent(0, this.south, this.cold);
				sent++;
			}
			assertThat(sent).isBetween(1, 20);
		}

		/** Guards against nodes that all take the whole of what a replica bears. */
		@Test
		void theyGetNothingFromANodeThatTheOthersMayNotCount() {
			Wanted uncounted = new Wanted(ENGINES, limit("south"), COLD_START, Optional.empty(), Optional.empty(), KEY,
					List.of());
			assertThat(usable(uncounted)).isEmpty();
		}

		@Test
		void theyAreUsedAsUsualIfTheyBearAsMuchAsWarmOnes() {
			Wanted unlimited = new Wanted(ENGINES, limit("south"), ColdStart.NONE, Optional.empty(), Optional.empty(),
					KEY, List.of());
			assertThat(usable(unlimited)).isEqualTo("c-v1");
		}

		@Test
		void oneThatTurnsWarmIsUsed() {
			assertThat(ReplicaRulesTests.this.rules.cold(1000, this.south, this.cold)).isFalse();
		}

	}

	@Nested
	class WhereReplicasAskForFewerRequests {

		private final Wanted north = wanted(limit("north"));

		private Set<ReplicaId> leftOut(Wanted wanted) {
			return ReplicaRulesTests.this.rules.leftOut(0, wanted, Set.of());
		}

		private void rest(String dataCenter, String release) {
			ReplicaRulesTests.this.book.heard(0, replica(dataCenter, release),
					new Backpressure(new RateLimit.None(), 3000));
		}

		/**
		 * Guards against models whose homes move each time that a replica has no room.
		 */
		@Test
		void theyAreLeftOutButStillBelongToTheRequest() {
			rest("a", "v1");
			assertThat(leftOut(this.north)).containsExactly(replica("a", "v1").id());
			assertThat(usable(this.north)).isEqualTo("a-v1 b-v1");
		}

		@Test
		void theReasonIsToldIfAllDo() {
			rest("a", "v1");
			assertThat(ReplicaRulesTests.this.rules.whyNone(0, this.north)).isEqualTo(NoReplica.TRIED);
			rest("b", "v1");
			assertThat(ReplicaRulesTests.this.rules.whyNone(0, this.north)).isEqualTo(NoReplica.RESTING);
			ReplicaRulesTests.this.book.heard(3000, replica("a", "v1"), Backpressure.of(new RateLimit.Named(0)));
			assertThat(ReplicaRulesTests.this.rules.whyNone(2000, this.north)).isEqualTo(NoReplica.RESTING);
		}

		/** Guards against cold replicas that stand idle while all warm ones rest. */
		@Test
		void coldReplicasGetAFewRequestsIfAllWarmOnesDo() {
			ReplicaRulesTests.this.directory.onColdReport(0, replica("b", "v1"), 1000);
			rest("a", "v1");
			assertThat(ReplicaRulesTests.this.rules.usable(0, this.north, leftOut(this.north)))
				.contains(replica("b", "v1"));
		}

		/**
		 * Guards against callers who are exposed to a new release as the old one rests.
		 */
		@Test
		void requestsOfTheOldReleaseNeverGoToTheNewOneForIt() {
			List.of("a", "b", "c").forEach((dataCenter) -> {
				ReplicaRulesTests.this.directory.onListed(replica(dataCenter, "v2"));
				rest(dataCenter, "v1");
			});
			Rollout justBegun = new Rollout(0, new RolloutOrder(ENGINES, "v2", 10_000), 1);
			ReleaseKey session = new ReleaseKey("session", true);
			Wanted wanted = new Wanted(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1),
					Optional.of(justBegun), session, List.of());
			Set<ReplicaId> leftOut = leftOut(wanted);
			assertThat(ReplicaRulesTests.this.rules.usable(0, wanted, leftOut))
				.allMatch((replica) -> leftOut.contains(replica.id()));
		}

		@Test
		void requestsOfTheNewReleaseGoToTheOldOneForIt() {
			ReplicaRulesTests.this.directory.onListed(replica("a", "v2"));
			rest("a", "v2");
			Rollout done = new Rollout(-9900, new RolloutOrder(ENGINES, "v2", 10_000), 1);
			Wanted wanted = new Wanted(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1), Optional.of(done),
					KEY, List.of());
			assertThat(ReplicaRulesTests.this.rules.usable(0, wanted, leftOut(wanted))).extracting(Replica::release)
				.containsOnly("v1");
		}

	}

	@Nested
	class DuringARollout {

		/**
		 * Guards against requests that are refused as the replicas of their new release
		 * have just started, while the old ones are warm.
		 */
		@Test
		void requestsOfTheNewReleaseGoToTheOldOneWhileTheNewReplicasAreCold() {
			Replica fresh = replica("a", "v2");
			ReplicaRulesTests.this.directory.onListed(fresh);
			ReplicaRulesTests.this.directory.onColdReport(0, fresh, 1000);
			Rollout rollout = new Rollout(-9000, new RolloutOrder(ENGINES, "v2", 10_000), 1);
			Wanted wanted = new Wanted(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1), Optional.of(rollout),
					KEY, List.of());
			assertThat(usable(wanted)).isEqualTo("a-v1 b-v1 c-v1");
			ReplicaRulesTests.this.directory.onColdReport(0, fresh, 0);
			assertThat(usable(wanted)).isEqualTo("a-v2");
		}

	}

}
