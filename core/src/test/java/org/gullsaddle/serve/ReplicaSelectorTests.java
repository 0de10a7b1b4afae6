package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaSelectorTests {

	private static final long CACHE_TOKENS = 400_000;

	private final ReplicaSelector selector = new ReplicaSelector(
			new NodeLocation("a", Map.of("a", "north", "b", "north", "c", "south")));

	private final List<Replica> replicas = new ArrayList<>();

	ReplicaSelectorTests() {
		for (int i = 0; i < 4; i++) {
			this.replicas.add(replica("near-" + i, "a"));
			this.replicas.add(replica("far-" + i, "c"));
		}
	}

	private static Replica replica(String id, String dataCenter) {
		return new Replica(new ReplicaId(id), new ServiceName("engines"), new Address("10.0.0.1", 80), dataCenter, "v1",
				64, false, 1);
	}

	private static ReplicaTask task(String model, double slowdown, String part) {
		List<PromptPart> parts = List.of(new PromptPart(part, 12_000), new PromptPart(part + "-own", 500));
		return new ReplicaTask(model, new Prompt(12_500, 100, OptionalInt.empty(), parts), slowdown,
				(slowdown > 1) ? ModelSizeClass.LARGE : ModelSizeClass.SMALL, CACHE_TOKENS, 4000);
	}

	private ReplicaChoice send(ReplicaTask task) {
		ReplicaChoice choice = choose(task);
		this.selector.onSent(0, choice, task);
		return choice;
	}

	private ReplicaChoice choose(ReplicaTask task) {
		return this.selector.chooseReplica(0, this.replicas, Set.of(), task).orElseThrow();
	}

	@Test
	void nearReplicaIsChosenWhileItIsFree() {
		assertThat(choose(task("small", 1, "x")).replica().dataCenter()).isEqualTo("a");
	}

	@Test
	void promptGoesToTheReplicaThatCachesItsSharedPart() {
		ReplicaChoice first = send(task("small", 1, "x"));
		this.selector.onPromptRead(first, task("small", 1, "x"));
		this.selector.onAttemptEnded(0, first, new AttemptEnd.Answered(200));
		ReplicaChoice second = choose(task("small", 1, "x"));
		assertThat(second.replica()).isEqualTo(first.replica());
		assertThat(second.unreadTokens()).isZero();
	}

	/**
	 * A replica restarts under its old id with an empty cache. A prompt sent there for
	 * its cached parts would be read whole.
	 */
	@Test
	void restartedReplicaHasAnEmptyPromptCache() {
		ReplicaChoice first = send(task("small", 1, "x"));
		Replica again = new Replica(first.replica().id(), first.replica().service(), first.replica().address(), "a",
				"v1", 64, false, 2);
		ReplicaChoice second = this.selector.chooseReplica(0, List.of(again), Set.of(), task("small", 1, "x"))
			.orElseThrow();
		assertThat(second.unreadTokens()).isEqualTo(12_500);
	}

	@Test
	void unreachableReplicaIsExcludedForAWhile() {
		ReplicaChoice first = send(task("small", 1, "x"));
		this.selector.onAttemptEnded(0, first, new AttemptEnd.NotRun(true, "unreachable"));
		assertThat(choose(task("small", 1, "x")).replica()).isNotEqualTo(first.replica());
	}

	@Test
	void expectedDelayGrowsWithTheQueue() {
		Replica idle = this.replicas.get(0);
		Replica full = this.replicas.get(2);
		ReplicaTask task = task("small", 1, "x");
		send(task);
		this.selector.onLoadReport(0, idle, new EngineReport(2, 0, 0));
		this.selector.onLoadReport(0, full, new EngineReport(64, 10, 40));
		double idleMillis = this.selector.estimateDelay(0, this.replicas, idle, task).expectedMillis();
		assertThat(this.selector.estimateDelay(0, this.replicas, full, task).expectedMillis())
			.isGreaterThan(2 * idleMillis);
	}

	/**
	 * Guards against a failed replica that attracts requests because its own requests
	 * cannot be moved.
	 */
	@Test
	void silentReplicaGetsNoNewRequests() {
		Replica silentReplica = choose(task("small", 1, "x")).replica();
		assertThat(choose(task("small", 1, "x")).replica()).isEqualTo(silentReplica);
		for (int i = 0; i < 3; i++) {
			this.selector.onSilent(0, silentReplica);
		}
		assertThat(choose(task("small", 1, "x")).replica()).isNotEqualTo(silentReplica);
	}

	/**
	 * Long prompts arrive faster than the near replicas read them. If all were sent to
	 * the nearest replicas, they would queue there while the other region is idle.
	 */
	@Test
	void loadSpillsToTheOtherRegionWhenTheNearOneIsFull() {
		Set<String> dataCenters = new HashSet<>();
		for (int i = 0; i < 40; i++) {
			dataCenters.add(send(task("large", 15, "x" + i)).replica().dataCenter());
		}
		assertThat(dataCenters).containsExactlyInAnyOrder("a", "c");
	}

	@Nested
	class WithManyPeers {

		private static final EngineReport BUSY = new EngineReport(8, 6, 0);

		private final ReplicaTask task = task("large", 15, "x");

		private void report(long now, String id, EngineReport report) {
			ReplicaSelectorTests.this.replicas.stream()
				.filter((replica) -> replica.id().value().equals(id))
				.forEach((replica) -> ReplicaSelectorTests.this.selector.onLoadReport(now, replica, report));
		}

		private EngineLoad loadOf(long now, String id) {
			return ReplicaSelectorTests.this.selector
				.bestChoices(now, ReplicaSelectorTests.this.replicas, Set.of(), this.task, 8)
				.stream()
				.filter((choice) -> choice.replica().id().value().equals(id))
				.findFirst()
				.orElseThrow()
				.load();
		}

		/**
		 * Guards against all nodes sending to the one replica that they know nothing
		 * about.
		 */
		@Test
		void unknownReplicaIsNotAssumedIdle() {
			ReplicaSelectorTests.this.replicas.stream()
				.map((replica) -> replica.id().value())
				.filter((id) -> !id.equals("near-3"))
				.forEach((id) -> report(0, id, BUSY));
			assertThat(loadOf(0, "near-3").requests()).isEqualTo(8);
		}

		/** Guards against relying on an outdated report of a long or an empty queue. */
		@Test
		void oldReportIsReplacedByTheMeanOfOtherReplicas() {
			report(0, "near-0", new EngineReport(0, 0, 0));
			for (String id : List.of("near-1", "near-2", "near-3", "far-0", "far-1", "far-2", "far-3")) {
				report(10_000, id, BUSY);
			}
			assertThat(loadOf(10_000, "near-0").requests()).isBetween(7.9, 8.0);
		}

		/** Guards against long prompts that wait behind those of other nodes. */
		@Test
		void promptGoesToTheReplicaThatReportsItIsIdle() {
			ReplicaChoice first = send(this.task);
			ReplicaSelectorTests.this.selector.onPromptRead(first, this.task);
			Replica free = ReplicaSelectorTests.this.selector
				.bestChoices(0, ReplicaSelectorTests.this.replicas, Set.of(first.replica().id()), this.task, 1)
				.get(0)
				.replica();
			ReplicaSelectorTests.this.replicas.forEach((replica) -> report(0, replica.id().value(), BUSY));
			report(0, free.id().value(), new EngineReport(0, 0, 0));
			assertThat(choose(this.task).replica()).isEqualTo(free);
		}

		@Test
		void loadInAnAnswerCountsAsARecentReport() {
			Replica replica = ReplicaSelectorTests.this.replicas.get(0);
			assertThat(ReplicaSelectorTests.this.selector.hasReportWithin(0, replica, 500)).isFalse();
			ReplicaSelectorTests.this.selector.onLoadReport(1000, replica, new LoadReport(3, 0, 64));
			assertThat(ReplicaSelectorTests.this.selector.hasReportWithin(1500, replica, 500)).isTrue();
			assertThat(ReplicaSelectorTests.this.selector.hasReportWithin(1501, replica, 500)).isFalse();
		}

		/** Guards against queries that are paid for and report nothing new. */
		@Test
		void onlyReplicasOfTheRegionWithoutARecentReportAreQueried() {
			List<Replica> asked = ReplicaSelectorTests.this.selector.replicasToQuery(0,
					ReplicaSelectorTests.this.replicas, Set.of(), this.task);
			assertThat(asked).isNotEmpty()
				.hasSizeLessThanOrEqualTo(3)
				.allSatisfy((replica) -> assertThat(replica.dataCenter()).isEqualTo("a"));
			report(0, asked.get(0).id().value(), BUSY);
			assertThat(ReplicaSelectorTests.this.selector.replicasToQuery(0, ReplicaSelectorTests.this.replicas,
					Set.of(), this.task))
				.doesNotContain(asked.get(0));
		}

		@Test
		void noReplicaIsQueriedForTheSmallestModel() {
			assertThat(ReplicaSelectorTests.this.selector.replicasToQuery(0, ReplicaSelectorTests.this.replicas,
					Set.of(), task("small", 1, "x")))
				.isEmpty();
		}

		/**
		 * Guards against many nodes sending to the same few replicas for small models,
		 * whose queues they know nothing about.
		 */
		@Test
		void replicasAreQueriedForTheSmallestModelIfSizesAreSeparated() {
			ReplicaSelectorTests.this.selector.separateModelSizes();
			assertThat(ReplicaSelectorTests.this.selector.replicasToQuery(0, ReplicaSelectorTests.this.replicas,
					Set.of(), task("small", 1, "x")))
				.isNotEmpty();
			assertThat(ReplicaSelectorTests.this.selector.replicasToQuery(0, ReplicaSelectorTests.this.replicas,
					Set.of(), ReplicaTask.plainCall(500)))
				.isEmpty();
		}

		@Test
		void replicaThatDidNotAnswerAQueryIsExcludedForAWhile() {
			ReplicaChoice first = choose(this.task);
			ReplicaSelectorTests.this.selector.onUnreachable(0, first.replica());
			assertThat(choose(this.task).replica()).isNotEqualTo(first.replica());
		}

	}

	@Nested
	class WithModelsOfDifferentSize {

		/**
		 * A batch steps as slowly as its slowest model. On shared replicas, the small
		 * model's callers waited as long as the large one's.
		 */
		@Test
		void smallAndLargeModelsRunOnSeparateReplicas() {
			Set<ReplicaId> small = new HashSet<>();
			Set<ReplicaId> large = new HashSet<>();
			for (int i = 0; i < 6; i++) {
				ReplicaTask smallTask = task("small", 1, "x" + i);
				ReplicaTask largeTask = task("large", 15, "x" + i);
				ReplicaChoice first = send(smallTask);
				ReplicaChoice second = send(largeTask);
				small.add(first.replica().id());
				large.add(second.replica().id());
				ReplicaSelectorTests.this.selector.onPromptRead(first, smallTask);
				ReplicaSelectorTests.this.selector.onPromptRead(second, largeTask);
				ReplicaSelectorTests.this.selector.onAttemptEnded(0, first, new AttemptEnd.Answered(200));
				ReplicaSelectorTests.this.selector.onAttemptEnded(0, second, new AttemptEnd.Answered(200));
			}
			assertThat(small).doesNotContainAnyElementsOf(large);
		}

		/**
		 * A burst of the small model's prompts spilled to the large model's engines and
		 * slowed all reading there.
		 */
		@Test
		void burstOfOneSizeStaysOnItsReplicasIfSizesAreSeparated() {
			ReplicaSelectorTests.this.selector.separateModelSizes();
			Set<ReplicaId> small = new HashSet<>();
			for (int i = 0; i < 200; i++) {
				small.add(send(task("small", 1, "x" + i)).replica().id());
			}
			assertThat(small).doesNotContain(choose(task("large", 15, "y")).replica().id());
		}

		/**
		 * Guards against requests without a replica when all replicas dedicated to a size
		 * are lost.
		 */
		@Test
		void replicasOfTheOtherSizeServeWhenTheDedicatedOnesAreTried() {
			ReplicaSelectorTests.this.selector.separateModelSizes();
			Set<ReplicaId> tried = new HashSet<>();
			ReplicaTask smallTask = task("small", 1, "x");
			for (int i = 0; i < ReplicaSelectorTests.this.replicas.size(); i++) {
				ReplicaChoice choice = ReplicaSelectorTests.this.selector
					.chooseReplica(0, ReplicaSelectorTests.this.replicas, tried, smallTask)
					.orElseThrow();
				assertThat(tried.add(choice.replica().id())).isTrue();
			}
		}

		@Test
		void onlyReplicaServesBothSizes() {
			List<Replica> one = List.of(replica("near-0", "a"));
			assertThat(ReplicaSelectorTests.this.selector.chooseReplica(0, one, Set.of(), task("small", 1, "x")))
				.isPresent();
			assertThat(ReplicaSelectorTests.this.selector.chooseReplica(0, one, Set.of(), task("large", 15, "x")))
				.isPresent();
		}

	}

	@Nested
	class WhenAReplicaIsSilent {

		@Test
		void isUnresponsiveOnlyAfterTimeToReadThePrompt() {
			ReplicaChoice choice = send(task("large", 15, "x"));
			long reading = Math.round(2 * choice.readMillis());
			assertThat(ReplicaSelectorTests.this.selector.isUnresponsive(reading + 800, choice, 0, true, 800))
				.isFalse();
			assertThat(ReplicaSelectorTests.this.selector.isUnresponsive(reading + 801, choice, 0, true, 800)).isTrue();
		}

		/**
		 * A replica crashes in the middle of a stream that began after a long prompt. The
		 * caller saw a pause of three seconds, because the replica was assumed to be
		 * still reading.
		 */
		@Test
		void getsNoReadingTimeOnceItsAnswerHasBegun() {
			ReplicaChoice choice = send(task("large", 15, "x"));
			assertThat(ReplicaSelectorTests.this.selector.isUnresponsive(801, choice, 0, false, 800)).isTrue();
		}

		/**
		 * A request waits in a long queue. It was taken for lost, moved and queued again,
		 * as were all others, and almost none was served.
		 */
		@Test
		void isResponsiveWhileItAnswersOtherRequests() {
			ReplicaChoice choice = send(task("small", 1, "x"));
			ReplicaSelectorTests.this.selector.onBytes(9_500, choice.replica());
			assertThat(ReplicaSelectorTests.this.selector.isUnresponsive(10_000, choice, 0, true, 800)).isFalse();
		}

	}

}
