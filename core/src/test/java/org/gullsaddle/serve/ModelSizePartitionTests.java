package org.gullsaddle.serve;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class ModelSizePartitionTests {

	private static final ReplicaTask SMALL = task("small", 1, ModelSizeClass.SMALL);

	private static final ReplicaTask LARGE = task("large", 15, ModelSizeClass.LARGE);

	private final ModelSizePartition partition = new ModelSizePartition(
			new NodeLocation("a", Map.of("a", "north", "b", "north", "c", "south")));

	private static ReplicaTask task(String model, double slowdown, ModelSizeClass sizeClass) {
		Prompt prompt = new Prompt(1000, 10, OptionalInt.empty(), List.of(new PromptPart("p", 1000)));
		return new ReplicaTask(model, prompt, slowdown, sizeClass, 100_000, 4000);
	}

	private static List<Replica> replicas(int count) {
		return replicas(count, "a");
	}

	/**
	 * Returns replicas that are spread over data centers.
	 */
	private static List<Replica> replicas(int count, String... dataCenters) {
		return IntStream.range(0, count)
			.mapToObj((i) -> new Replica(new ReplicaId("e" + i), new ServiceName("engines"),
					new Address("10.0.0.1", 80 + i), dataCenters[i % dataCenters.length], "v1", 8, false, 1))
			.toList();
	}

	private int smallReplicaCount(int replicas) {
		return replicas - this.partition.nonDedicatedReplicas(replicas(replicas), SMALL).size();
	}

	/** Guards against an idle engine where there is only one model. */
	@Test
	void singleModelMayUseEveryReplica() {
		ReplicaTask only = task("only", 1, ModelSizeClass.SIMILAR);
		this.partition.recordWork(0, only, 8000);
		assertThat(this.partition.nonDedicatedReplicas(replicas(4), only)).isEmpty();
	}

	@Nested
	class BeforeAnyWork {

		@Test
		void smallModelsGetAQuarterOfTheReplicas() {
			assertThat(smallReplicaCount(4)).isEqualTo(1);
			assertThat(smallReplicaCount(8)).isEqualTo(2);
		}

		@Test
		void everyReplicaIsDedicatedToOneSize() {
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(8), SMALL))
				.doesNotContainAnyElementsOf(
						ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(8), LARGE));
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(8), LARGE)).hasSize(2);
		}

		/**
		 * Guards against dedicating half of the engines to small models where each data
		 * center has two: the largest model's streams then run thirty at a time on the
		 * other half, and take longer than callers wait.
		 */
		@Test
		void replicasOfARegionArePartitionedTogether() {
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(4, "a", "b"), SMALL))
				.hasSize(3);
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(4, "a", "b"), LARGE))
				.hasSize(1);
		}

		@Test
		void everyRegionHasReplicasForBothSizes() {
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(4, "a", "c"), SMALL))
				.hasSize(2);
		}

		@Test
		void singleReplicaServesBothSizes() {
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(1), SMALL)).isEmpty();
			assertThat(ModelSizePartitionTests.this.partition.nonDedicatedReplicas(replicas(1), LARGE)).isEmpty();
		}

	}

	/**
	 * Under load few answers are replaced by the largest model's. Small requests queued
	 * on a quarter of the replicas for seconds, while those for the large model had
	 * little to do.
	 */
	@Nested
	class WhenNearlyAllWorkIsSmall {

		@Test
		void smallModelsGetMostReplicas() {
			for (int i = 0; i < 2000; i++) {
				ModelSizePartitionTests.this.partition.recordWork(i, SMALL, 8000);
			}
			assertThat(smallReplicaCount(8)).isEqualTo(7);
		}

		@Test
		void largeModelsGetReplicasBackWhenTheirWorkReturns() {
			for (int i = 0; i < 2000; i++) {
				ModelSizePartitionTests.this.partition.recordWork(i, SMALL, 8000);
			}
			for (int i = 0; i < 2000; i++) {
				ModelSizePartitionTests.this.partition.recordWork(30_000 + 10 * i, LARGE, 8000);
			}
			assertThat(smallReplicaCount(8)).isEqualTo(1);
		}

	}

	/**
	 * Capacity is short: nodes that see different work must compute the same partition.
	 */
	@Nested
	class WithStrictSeparation {

		@Test
		void workDoesNotMoveReplicas() {
			ModelSizePartitionTests.this.partition.separateStrictly();
			int before = smallReplicaCount(20);
			for (int i = 0; i < 1000; i++) {
				ModelSizePartitionTests.this.partition.recordWork(0, SMALL, 20_000);
			}
			assertThat(smallReplicaCount(20)).isEqualTo(before);
		}

		@Test
		void bothSizesKeepAReplicaWhenTwoAreLeft() {
			ModelSizePartitionTests.this.partition.separateStrictly();
			assertThat(smallReplicaCount(2)).isEqualTo(1);
			assertThat(smallReplicaCount(14)).isBetween(2, 7);
		}

	}

}
