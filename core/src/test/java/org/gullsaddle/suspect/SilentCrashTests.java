package org.gullsaddle.suspect;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.Json;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replicas that go silent with their connections open and are found dead seconds later.
 */
class SilentCrashTests {

	private static final int REPLICAS = 8;

	private static final long SECOND = 1000;

	/** The interval between two sound requests, in milliseconds. */
	private static final long EVERY_MILLIS = 60;

	private static final long CONTACT_MILLIS = 4 * SECOND;

	/** How many times the content may be sent later than contact after three crashes. */
	private static final int ALLOWED = 3;

	static IntStream seeds() {
		return IntStream.rangeClosed(1, 10);
	}

	/** Few contents that come again soon, and many. */
	static Stream<Arguments> contentsAndSeeds() {
		return IntStream.of(40, 1_000_000)
			.boxed()
			.flatMap((contents) -> seeds().mapToObj((seed) -> Arguments.of(contents, seed)));
	}

	/** Guards against a content that is never refused, as no connection breaks. */
	@ParameterizedTest
	@MethodSource("seeds")
	void contentThatSilencesReplicasIsBlockedAndNoOther(int seed) {
		SilentCrashModel model = new SilentCrashModel(seed, REPLICAS);
		model.traffic(0, 30 * SECOND, EVERY_MILLIS, 40);
		model.repeatPoison(3 * SECOND, 30 * SECOND, 1500);
		model.run(30 * SECOND);
		assertThat(model.poisonSentAfter(3, CONTACT_MILLIS)).isLessThanOrEqualTo(ALLOWED);
		assertThat(model.blocked()).containsExactly(SilentCrashModel.POISON);
	}

	@Test
	void peersLearnWhetherACrashWasSilent() throws IOException {
		CrashNote note = new CrashNote(0, List.of(new CrashNote.NotedCrash("r1@1", 10, Map.of(), true),
				new CrashNote.NotedCrash("r2@1", 10, Map.of(), false)), Map.of(), List.of());
		assertThat(Json.read(Json.write(note), CrashNote.class)).isEqualTo(note);
	}

	@Nested
	class BlocksNothing {

		/**
		 * Guards against blaming contents that were sent to several replicas of a rack
		 * that had lost its power or its network.
		 */
		@ParameterizedTest
		@MethodSource("org.gullsaddle.suspect.SilentCrashTests#contentsAndSeeds")
		void whenManyReplicasFallSilentAtOnce(int contents, int seed) {
			assertThat(blockedAsRacksFallSilent(EVERY_MILLIS, contents, seed)).isEmpty();
		}

		/** Guards against the same where replicas are idle most of the time. */
		@ParameterizedTest
		@MethodSource("org.gullsaddle.suspect.SilentCrashTests#contentsAndSeeds")
		@Tag("known-red")
		void whenManyIdleReplicasFallSilentAtOnce(int contents, int seed) {
			assertThat(blockedAsRacksFallSilent(4 * EVERY_MILLIS, contents, seed)).isEmpty();
		}

		private static Set<Trait> blockedAsRacksFallSilent(long everyMillis, int contents, int seed) {
			SilentCrashModel model = new SilentCrashModel(seed, REPLICAS);
			model.traffic(0, 40 * SECOND, everyMillis, contents);
			for (int i = 0; i < 3; i++) {
				model.rackFallsSilent((4 + 11 * i) * SECOND, REPLICAS * 3 / 4, i == 1);
			}
			model.run(40 * SECOND);
			assertThat(model.crashCount()).isPositive();
			return model.blocked();
		}

		/** Guards against blaming contents for replicas that are removed while busy. */
		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void whenBusyReplicasAreRemoved(boolean announced) {
			SilentCrashModel model = new SilentCrashModel(1, REPLICAS);
			model.traffic(0, 40 * SECOND, EVERY_MILLIS, 1_000_000);
			model.stepsDown(4 * SECOND, 40 * SECOND, 2 * SECOND, announced);
			model.run(40 * SECOND);
			assertThat(model.blocked()).isEmpty();
		}

	}

}
