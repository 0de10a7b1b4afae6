package org.gullsaddle.serve;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
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
import org.gullsaddle.serve.ReplicaEligibility.NoReplica;
import org.gullsaddle.serve.ReplicaEligibility.Requirements;
import org.gullsaddle.suspect.CrashTracker;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaEligibilityTests {

	private static final NodeId NODE = new NodeId("node");

	private static final ServiceName ENGINES = new ServiceName("engines");

	private static final ColdStart COLD_START = new ColdStart(20);

	private static final ReleaseKey KEY = new ReleaseKey("request", false);

	private final ReplicaDirectory directory = new ReplicaDirectory();

	private final NodeLocation location = new NodeLocation("a", Map.of("a", "north", "b", "north", "c", "south"));

	private final BackpressureTable backpressure = new BackpressureTable(NODE, this.location,
			() -> Optional.of(List.of(new Peer(NODE, "a"))), new Random(1));

	private final ReplicaEligibility eligibility = new ReplicaEligibility(this.directory, this.location,
			new ColdReplicaLimiter("node"), this.backpressure, new CrashTracker());

	private static Replica replica(String dataCenter, String release) {
		return new Replica(new ReplicaId(dataCenter + '-' + release), ENGINES, new Address("10.0.0.1", 80), dataCenter,
				release, 8, false, 1);
	}

	private static Requirements requirements(RegionLimit limit) {
		return new Requirements(ENGINES, limit, COLD_START, Optional.of(1), Optional.empty(), KEY, List.of());
	}

	private static RegionLimit regionLimit(String regions) {
		return RegionLimit.of(words(regions));
	}

	private static List<String> words(String text) {
		return (text != null) ? Arrays.asList(text.split(" ")) : List.of();
	}

	private String eligible(Requirements required) {
		return this.eligibility.eligibleReplicas(0, required, Set.of())
			.stream()
			.map((replica) -> replica.id().value())
			.collect(Collectors.joining(" "));
	}

	@BeforeEach
	void listReplicas() {
		List.of("a", "b", "c").forEach((dataCenter) -> this.directory.onListed(replica(dataCenter, "v1")));
	}

	/**
	 * Guards against counting a cold replica of a region that is not allowed, which
	 * serves nothing.
	 */
	@Test
	void onlyColdReplicasOfAllowedRegionsCount() {
		this.directory.onColdReport(0, replica("c", "v1"), 1000);
		assertThat(this.eligibility.hasColdReplica(0, requirements(RegionLimit.ANYWHERE))).isTrue();
		assertThat(this.eligibility.hasColdReplica(0, requirements(regionLimit("north")))).isFalse();
		assertThat(this.eligibility.hasColdReplica(2000, requirements(RegionLimit.ANYWHERE))).isFalse();
	}

	/** Guards against a request that passes one rule by way of another. */
	@ParameterizedTest
	@CsvSource({ "'', '', '', a-v1 b-v1 c-v1", "north, '', '', a-v1 b-v1", "south, '', '', c-v1", "west, '', '', ''",
			"'', a, '', b-v1 c-v1", "'', a c, '', b-v1", "'', a b c, '', ''", "south, c, '', ''",
			"north, c, '', a-v1 b-v1", "'', '', a, b-v1 c-v1", "north, a, b, b-v1", "south, '', c, c-v1",
			"north, a b, a b, ''", "'', nowhere, '', a-v1 b-v1 c-v1" })
	void regionsEvacuationsAndColdReplicasApplyTogether(String regions, String evacuated, String cold,
			String expected) {
		words(evacuated.isEmpty() ? null : evacuated).forEach(this.directory::evacuate);
		words(cold.isEmpty() ? null : cold)
			.forEach((dataCenter) -> this.directory.onColdReport(0, replica(dataCenter, "v1"), 1000));
		assertThat(eligible(requirements(regionLimit(regions.isEmpty() ? null : regions)))).isEqualTo(expected);
	}

	@Nested
	class WithoutAnEligibleReplica {

		private NoReplica reasonFor(RegionLimit limit) {
			return ReplicaEligibilityTests.this.eligibility.noReplicaReason(0, requirements(limit));
		}

		@Test
		void evacuationIsTheReason() {
			ReplicaEligibilityTests.this.directory.evacuate("c");
			assertThat(reasonFor(regionLimit("south"))).isEqualTo(NoReplica.EVACUATED);
		}

		@Test
		void regionWithoutReplicasIsTheReason() {
			assertThat(reasonFor(regionLimit("west"))).isEqualTo(NoReplica.OTHER_REGION);
		}

		@Test
		void emptyDirectoryIsTheReason() {
			List.of("a", "b", "c")
				.forEach((dataCenter) -> ReplicaEligibilityTests.this.directory.onUnlisted(0,
						replica(dataCenter, "v1").id()));
			assertThat(reasonFor(RegionLimit.ANYWHERE)).isEqualTo(NoReplica.NONE);
		}

		@Test
		void coldReplicasAreTheReason() {
			ReplicaEligibilityTests.this.directory.onColdReport(0, replica("c", "v1"), 1000);
			assertThat(reasonFor(regionLimit("south"))).isEqualTo(NoReplica.COLD);
		}

	}

	@Nested
	class WithColdReplicasOnly {

		private final Requirements south = requirements(regionLimit("south"));

		private final Replica cold = replica("c", "v1");

		@BeforeEach
		void makeReplicaCold() {
			ReplicaEligibilityTests.this.directory.onColdReport(0, this.cold, 1000);
		}

		@Test
		void replicaReceivesNoMoreThanItsColdStartLimit() {
			int sent = 0;
			while (!ReplicaEligibilityTests.this.eligibility.eligibleReplicas(0, this.south, Set.of()).isEmpty()) {
				ReplicaEligibilityTests.this.eligibility.onSent(0, this.south, this.cold);
				sent++;
			}
			assertThat(sent).isBetween(1, 20);
		}

		/** Guards against nodes that each use the whole cold-start limit of a replica. */
		@Test
		void replicaReceivesNothingIfTheNodeCountIsUnknown() {
			Requirements uncounted = new Requirements(ENGINES, regionLimit("south"), COLD_START, Optional.empty(),
					Optional.empty(), KEY, List.of());
			assertThat(eligible(uncounted)).isEmpty();
		}

		@Test
		void replicaIsUsedAsUsualWithoutAColdStartLimit() {
			Requirements unlimited = new Requirements(ENGINES, regionLimit("south"), ColdStart.NONE, Optional.empty(),
					Optional.empty(), KEY, List.of());
			assertThat(eligible(unlimited)).isEqualTo("c-v1");
		}

		@Test
		void replicaIsUsedOnceItIsWarm() {
			assertThat(ReplicaEligibilityTests.this.eligibility.isCold(1000, this.south, this.cold)).isFalse();
		}

	}

	@Nested
	class WithBackpressure {

		private final Requirements north = requirements(regionLimit("north"));

		private Set<ReplicaId> excluded(Requirements required) {
			return ReplicaEligibilityTests.this.eligibility.excludedReplicas(0, required, Set.of());
		}

		private void askForBackOff(String dataCenter, String release) {
			ReplicaEligibilityTests.this.backpressure.onAnswer(0, replica(dataCenter, release),
					new Backpressure(new RateLimit.Unlimited(), 3000));
		}

		/**
		 * Guards against a model partition that moves each time a replica has no
		 * capacity.
		 */
		@Test
		void backingOffReplicaIsExcludedButStillEligible() {
			askForBackOff("a", "v1");
			assertThat(excluded(this.north)).containsExactly(replica("a", "v1").id());
			assertThat(eligible(this.north)).isEqualTo("a-v1 b-v1");
		}

		@Test
		void backOffIsTheReasonIfAllReplicasAskForIt() {
			askForBackOff("a", "v1");
			assertThat(ReplicaEligibilityTests.this.eligibility.noReplicaReason(0, this.north))
				.isEqualTo(NoReplica.TRIED);
			askForBackOff("b", "v1");
			assertThat(ReplicaEligibilityTests.this.eligibility.noReplicaReason(0, this.north))
				.isEqualTo(NoReplica.RESTING);
			ReplicaEligibilityTests.this.backpressure.onAnswer(3000, replica("a", "v1"),
					Backpressure.ofLimit(new RateLimit.Limited(0)));
			assertThat(ReplicaEligibilityTests.this.eligibility.noReplicaReason(2000, this.north))
				.isEqualTo(NoReplica.RESTING);
		}

		/** Guards against cold replicas that stay idle while all warm ones back off. */
		@Test
		void coldReplicasGetAFewRequestsIfAllWarmOnesBackOff() {
			ReplicaEligibilityTests.this.directory.onColdReport(0, replica("b", "v1"), 1000);
			askForBackOff("a", "v1");
			assertThat(ReplicaEligibilityTests.this.eligibility.eligibleReplicas(0, this.north, excluded(this.north)))
				.contains(replica("b", "v1"));
		}

		/**
		 * Guards against exposing callers to a new release because replicas of the old
		 * one back off.
		 */
		@Test
		void requestsOfTheOldReleaseDoNotMoveToTheNewOneOnBackOff() {
			List.of("a", "b", "c").forEach((dataCenter) -> {
				ReplicaEligibilityTests.this.directory.onListed(replica(dataCenter, "v2"));
				askForBackOff(dataCenter, "v1");
			});
			Rollout justBegun = new Rollout(0, new RolloutOrder(ENGINES, "v2", 10_000), 1);
			ReleaseKey session = new ReleaseKey("session", true);
			Requirements required = new Requirements(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1),
					Optional.of(justBegun), session, List.of());
			Set<ReplicaId> excluded = excluded(required);
			assertThat(ReplicaEligibilityTests.this.eligibility.eligibleReplicas(0, required, excluded))
				.allMatch((replica) -> excluded.contains(replica.id()));
		}

		@Test
		void requestsOfTheNewReleaseMoveToTheOldOneOnBackOff() {
			ReplicaEligibilityTests.this.directory.onListed(replica("a", "v2"));
			askForBackOff("a", "v2");
			Rollout done = new Rollout(-9900, new RolloutOrder(ENGINES, "v2", 10_000), 1);
			Requirements required = new Requirements(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1),
					Optional.of(done), KEY, List.of());
			assertThat(ReplicaEligibilityTests.this.eligibility.eligibleReplicas(0, required, excluded(required)))
				.extracting(Replica::release)
				.containsOnly("v1");
		}

	}

	@Nested
	class DuringARollout {

		/**
		 * Guards against refused requests while the replicas of their new release have
		 * just started and the old ones are warm.
		 */
		@Test
		void requestsOfTheNewReleaseGoToTheOldOneWhileTheNewReplicasAreCold() {
			Replica fresh = replica("a", "v2");
			ReplicaEligibilityTests.this.directory.onListed(fresh);
			ReplicaEligibilityTests.this.directory.onColdReport(0, fresh, 1000);
			Rollout rollout = new Rollout(-9000, new RolloutOrder(ENGINES, "v2", 10_000), 1);
			Requirements required = new Requirements(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1),
					Optional.of(rollout), KEY, List.of());
			assertThat(eligible(required)).isEqualTo("a-v1 b-v1 c-v1");
			ReplicaEligibilityTests.this.directory.onColdReport(0, fresh, 0);
			assertThat(eligible(required)).isEqualTo("a-v2");
		}

		/**
		 * Guards against a refusal that blames back-off, with a time to return of
		 * seconds, while only a release that was found bad is left.
		 */
		@Test
		void badReleaseThatIsLeftAloneIsTheReason() {
			Rollout rollout = new Rollout(-9000, new RolloutOrder(ENGINES, "v1", 10_000), 1);
			for (int i = 0; i < 5; i++) {
				rollout.onAnswerStarted(replica("a", "v1"), new AnswerKind("chat", ""), true, 0, 100,
						OptionalDouble.empty());
			}
			Requirements required = new Requirements(ENGINES, RegionLimit.ANYWHERE, COLD_START, Optional.of(1),
					Optional.of(rollout), KEY, List.of());
			assertThat(ReplicaEligibilityTests.this.eligibility.noReplicaReason(0, required))
				.isEqualTo(NoReplica.TRIED);
		}

	}

}
