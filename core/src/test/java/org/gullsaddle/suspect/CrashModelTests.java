package org.gullsaddle.suspect;

import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that many nodes together find what crashes replicas and block nothing else. */
class CrashModelTests {

	private static final long SECOND = 1000;

	private static final long CONTACT_MILLIS = 4 * SECOND;

	/** More seeds are run by hand with {@code -Dcrash.seeds=50}. */
	private static final int SEEDS = Integer.getInteger("crash.seeds", 4);

	static Stream<Arguments> deployments() {
		return Stream.of(Arguments.of(1, 6), Arguments.of(4, 8), Arguments.of(40, 40))
			.flatMap((size) -> IntStream.rangeClosed(1, SEEDS)
				.mapToObj((seed) -> Arguments.of(size.get()[0], size.get()[1], seed)));
	}

	/**
	 * Guards against losing replicas one by one, however many nodes share the evidence.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void deadlyPartIsBlockedByAllNodesInTimeAndNoOther(int nodes, int replicas, int seed) {
		CrashModel model = new CrashModel(seed, nodes, replicas);
		model.traffic(0, 3 * SECOND, 40, 0);
		model.traffic(3 * SECOND, 30 * SECOND, 40, 0.2);
		model.run(30 * SECOND);
		assertThat(model.sentAfter(5, CONTACT_MILLIS)).isLessThanOrEqualTo(3);
		assertThat(model.isBlockedByAll(CrashModel.DEADLY)).isTrue();
		assertThat(model.blocked).filteredOn(Trait::isPart).containsExactly(CrashModel.DEADLY);
	}

	/** Guards against a rare part whose few requests each crash a replica. */
	@ParameterizedTest
	@MethodSource("deployments")
	void rareDeadlyPartIsBlockedAfterAFewCrashes(int nodes, int replicas, int seed) {
		CrashModel model = new CrashModel(seed, nodes, replicas);
		model.traffic(0, 120 * SECOND, 40, 0.01);
		model.run(120 * SECOND);
		assertThat(model.sentAfter(5, CONTACT_MILLIS)).isLessThanOrEqualTo(3);
		assertThat(model.blocked).filteredOn(Trait::isPart).isSubsetOf(CrashModel.DEADLY);
	}

	/** Guards against blocking harmless requests when replicas fail on their own. */
	@ParameterizedTest
	@MethodSource("deployments")
	void failingRacksAndReplicasBlockNoPart(int nodes, int replicas, int seed) {
		CrashModel model = new CrashModel(seed, nodes, replicas);
		model.traffic(0, 60 * SECOND, 40, 0);
		for (int i = 0; i < 8; i++) {
			model.rackFails((5 + 7 * i) * SECOND, 0.4);
		}
		model.replicaFails(0, 3 * SECOND, 60 * SECOND, 3 * SECOND);
		model.replicaFails(1, 3 * SECOND, 60 * SECOND, 4 * SECOND);
		model.run(60 * SECOND);
		assertThat(model.crashes).isNotEmpty();
		assertThat(model.blocked).filteredOn(Trait::isPart).isEmpty();
	}

	/** Guards against missing a content among crashes of racks and faulty replicas. */
	@ParameterizedTest
	@MethodSource("deployments")
	void repeatedContentIsBlockedDespiteUnrelatedCrashes(int nodes, int replicas, int seed) {
		CrashModel model = new CrashModel(seed, nodes, replicas);
		model.traffic(0, 40 * SECOND, 40, 0);
		model.rackFails(4 * SECOND, 0.4);
		model.rackFails(11 * SECOND, 0.4);
		model.replicaFails(0, 3 * SECOND, 40 * SECOND, 3 * SECOND);
		model.repeat(6 * SECOND, 40 * SECOND, 600 + 400L * (seed % 4), 1 + seed % 3);
		model.run(40 * SECOND);
		assertThat(model.poisonSentAfter(3, CONTACT_MILLIS)).isLessThanOrEqualTo(3);
		assertThat(model.isBlockedByAll(CrashModel.POISON)).isTrue();
		assertThat(model.blocked).containsExactly(CrashModel.POISON);
	}

	/** Guards against missing a content beside a part that also crashes replicas. */
	@ParameterizedTest
	@MethodSource("deployments")
	void repeatedContentIsBlockedBesideADeadlyPart(int nodes, int replicas, int seed) {
		CrashModel model = contentBesideADeadlyPart(nodes, replicas, seed);
		assertThat(model.poisonSentAfter(3, CONTACT_MILLIS)).isLessThanOrEqualTo(3);
		assertThat(model.sentAfter(5, CONTACT_MILLIS)).isLessThanOrEqualTo(3);
		assertThat(model.isBlockedByAll(CrashModel.POISON)).isTrue();
		assertThat(model.isBlockedByAll(CrashModel.DEADLY)).isTrue();
	}

	/** Guards against blocking a harmless part because it was at crashes of both. */
	@ParameterizedTest
	@MethodSource("deployments")
	@Tag("known-red")
	void noSoundPartIsRefusedBesideADeadlyPartAndAContent(int nodes, int replicas, int seed) {
		CrashModel model = contentBesideADeadlyPart(nodes, replicas, seed);
		assertThat(model.blocked).filteredOn(Trait::isPart).containsExactly(CrashModel.DEADLY);
	}

	private static CrashModel contentBesideADeadlyPart(int nodes, int replicas, int seed) {
		CrashModel model = new CrashModel(seed, nodes, replicas);
		model.traffic(0, 3 * SECOND, 40, 0);
		model.traffic(3 * SECOND, 40 * SECOND, 40, 0.2);
		model.repeat(3 * SECOND, 40 * SECOND, 600 + 400L * (seed % 4), 1 + seed % 3);
		model.run(40 * SECOND);
		return model;
	}

	/**
	 * Guards against blocking the part that all requests share while all replicas fail.
	 */
	@ParameterizedTest
	@MethodSource("deployments")
	void outageOfAllReplicasBlocksNoCommonPart(int nodes, int replicas, int seed) {
		CrashModel model = new CrashModel(seed, nodes, replicas);
		model.traffic(0, 40 * SECOND, 40, 0);
		for (int i = 0; i < replicas; i++) {
			model.replicaFails(i, (5 + i % 3) * SECOND, 30 * SECOND, 2 * SECOND + 600);
		}
		model.run(40 * SECOND);
		assertThat(model.blocked).doesNotContain(Trait.part("first"));
	}

}
