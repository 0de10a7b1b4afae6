package org.gullsaddle.suspect;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests blocking of one request that is repeated and crashes each replica that runs it.
 */
class RepeatedContentTests {

	private static final Trait SYSTEM = Trait.part("system");

	private static final Trait SUBJECT = Trait.part("subject");

	private static final Trait DEADLY_PART = Trait.part("deadly");

	private static final Trait POISON = content("poison");

	private static final long SECOND = 1000;

	private static final long CLOCK = 1_700_000_000_000L;

	/** How long nodes may take to receive each other's notes. */
	private static final long CONTACT_MILLIS = 4000;

	/** How many requests may run later than that after the third crash. */
	private static final int MAX_LATE_REQUESTS = 3;

	private final CrashTracker tracker = new CrashTracker();

	private int processes;

	private static Trait content(String name) {
		return Trait.content(new Fingerprint(name));
	}

	private void crash(long now, Trait... traits) {
		crash(now, 20, traits);
	}

	private void crash(long now, long ranMillis, Trait... traits) {
		crash(this.tracker, now, ranMillis, traits);
	}

	private void crash(CrashTracker target, long now, long ranMillis, Trait... traits) {
		Map<Trait, Long> ran = new LinkedHashMap<>();
		List.of(traits).forEach((trait) -> ran.put(trait, ranMillis));
		target.onCrash(now, new Crash("process-" + this.processes++, now, ran));
	}

	private void onSuccess(long now, Trait... traits) {
		this.tracker.onSuccess(now, List.of(traits));
	}

	private boolean isBlocked(Trait... traits) {
		return this.tracker.isBlocked(List.of(traits));
	}

	/**
	 * Guards against needing twice as many crashes for a content that succeeded before.
	 */
	@Test
	void contentWithEarlierSuccessIsBlockedAfterThreeCrashesWhileOthersSucceed() {
		crash(0, SYSTEM, content("first"));
		onSuccess(SECOND, SYSTEM, POISON);
		for (int i = 2; i < 5; i++) {
			assertThat(isBlocked(POISON)).isFalse();
			crash(i * SECOND, SYSTEM, POISON);
			onSuccess(i * SECOND + 500, SYSTEM, content("sound-" + i));
		}
		RepeatedContentTests.this.tracker.reevaluate(5 * SECOND);
		assertThat(isBlocked(POISON)).isTrue();
	}

	/**
	 * Guards against blocking common parts because only requests without prompts succeed.
	 */
	@Test
	void successOfRequestsWithoutPromptsDoesNotCountAgainstAPart() {
		onSuccess(0, SYSTEM, content("sound"));
		for (int i = 1; i < 9; i++) {
			crash(i * SECOND, SYSTEM, content("own-" + i));
			onSuccess(i * SECOND + 500, content("plain-" + i));
		}
		RepeatedContentTests.this.tracker.reevaluate(10 * SECOND);
		assertThat(isBlocked(SYSTEM)).isFalse();
	}

	/**
	 * Guards against omitting a content from a note because many parts ran beside it.
	 */
	@Test
	void noteListsContentAtSeveralCrashesBeforePartsAtOne() {
		for (int i = 0; i < 2; i++) {
			Trait[] traits = new Trait[60];
			for (int j = 0; j < traits.length; j++) {
				traits[j] = Trait.part("part-" + i + "-" + j);
			}
			traits[40] = POISON;
			crash(i * SECOND, traits);
		}
		CrashNote note = this.tracker.buildNote(2 * SECOND, CLOCK).orElseThrow();
		assertThat(note.crashes()).hasSize(2).allSatisfy((crash) -> assertThat(crash.ran()).containsKey(POISON));
	}

	@Nested
	class InCopies {

		/**
		 * Guards against mistaking simultaneous copies that each crash a replica for the
		 * failure of one rack.
		 */
		@ParameterizedTest
		@CsvSource({ "1, 2000", "2, 2000", "2, 3500", "3, 1500", "3, 5000", "5, 1500", "5, 3500" })
		void isBlockedSoonAfterTheThirdCrash(int copies, long everyMillis) {
			long thirdAt = Long.MAX_VALUE / 2;
			int late = 0;
			for (long now = 0; now < 60 * SECOND && !isBlocked(POISON); now += everyMillis) {
				late += (now > thirdAt + CONTACT_MILLIS) ? copies : 0;
				for (int i = 0; i < copies; i++) {
					crash(now + 300 + i, 300, SYSTEM, SUBJECT, POISON, content("beside-" + now + "-" + i));
					thirdAt = (RepeatedContentTests.this.processes == 3) ? now + 300 + i : thirdAt;
				}
				onSuccess(now + 800, SYSTEM, SUBJECT, content("sound-" + now));
				RepeatedContentTests.this.tracker.reevaluate(now + 1400);
			}
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(late).isLessThanOrEqualTo(MAX_LATE_REQUESTS);
			assertThat(isBlocked(SYSTEM, SUBJECT)).isFalse();
		}

		/**
		 * Guards against blocking a harmless request because copies of it ran on a
		 * failing rack.
		 */
		@Test
		void isNotBlockedForCrashesOfOneRack() {
			for (int i = 0; i < 5; i++) {
				crash(SECOND + i, 300, SYSTEM, POISON);
			}
			crash(SECOND + 10, 300, SYSTEM, content("other"));
			onSuccess(2 * SECOND, SYSTEM, content("sound"));
			RepeatedContentTests.this.tracker.reevaluate(4 * SECOND);
			assertThat(isBlocked(POISON)).isFalse();
		}

		/** Guards against the same when nothing else ran on that rack. */
		@Test
		void isNotBlockedForOneMomentAlone() {
			for (int i = 0; i < 5; i++) {
				crash(SECOND + i, 300, SYSTEM, POISON);
			}
			onSuccess(2 * SECOND, SYSTEM, content("sound"));
			RepeatedContentTests.this.tracker.reevaluate(4 * SECOND);
			assertThat(isBlocked(POISON)).isFalse();
		}

	}

	@Nested
	class BesideADeadlyPart {

		/** Guards against resetting a content's crash count once a part is blocked. */
		@Test
		void isBlockedAtItsNextCrash() {
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, DEADLY_PART, POISON, content("beside-" + i));
			}
			crash(3 * SECOND, DEADLY_PART, content("another"));
			RepeatedContentTests.this.tracker.reevaluate(4 * SECOND);
			assertThat(isBlocked(DEADLY_PART)).isTrue();
			crash(20 * SECOND, SYSTEM, POISON);
			RepeatedContentTests.this.tracker.reevaluate(21 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
		}

		/**
		 * Guards against unblocking a content because a part explains one of its crashes.
		 */
		@Test
		void staysBlockedIfItsOtherCrashesAreEnough() {
			for (int i = 0; i < 4; i++) {
				crash(i * SECOND, SYSTEM, POISON, content("beside-" + i));
				onSuccess(i * SECOND + 500, SYSTEM);
			}
			assertThat(isBlocked(POISON)).isTrue();
			crash(5 * SECOND, DEADLY_PART, POISON);
			for (int i = 6; i < 10; i++) {
				crash(i * SECOND, DEADLY_PART, content("with-part-" + i));
			}
			RepeatedContentTests.this.tracker.reevaluate(11 * SECOND);
			assertThat(isBlocked(DEADLY_PART)).isTrue();
			assertThat(isBlocked(POISON)).isTrue();
		}

		/** Guards against a block for crashes that a part explains. */
		@Test
		void bystanderIsUnblocked() {
			Trait bystander = content("bystander");
			for (int i = 0; i < 4; i++) {
				crash(i * SECOND, (i < 3) ? new Trait[] { DEADLY_PART, bystander } : new Trait[] { DEADLY_PART });
				RepeatedContentTests.this.tracker.reevaluate(i * SECOND + 900);
			}
			assertThat(isBlocked(DEADLY_PART)).isTrue();
			assertThat(isBlocked(bystander)).isFalse();
		}

	}

	@Nested
	class BesideABlockedBystander {

		private final Trait bystander = content("bystander");

		private final CrashTracker peer = new CrashTracker();

		/**
		 * Has the node block a request that was retried alongside, as it ran for less
		 * time. A peer observes other crashes at the same time.
		 */
		private void blockTheBystander() {
			for (int i = 0; i < 3; i++) {
				Map<Trait, Long> ran = Map.of(POISON, 60L, this.bystander, 30L);
				RepeatedContentTests.this.tracker.onCrash(i * 400L, new Crash("engine-" + i, i * 400L, ran));
			}
			assertThat(isBlocked(this.bystander)).isTrue();
			assertThat(isBlocked(POISON)).isFalse();
		}

		private void passNote(long now) {
			RepeatedContentTests.this.tracker.onNote(now, CLOCK + now,
					this.peer.buildNote(now, CLOCK + now).orElseThrow());
		}

		/**
		 * Guards against a request that crashes replicas through one node only, as this
		 * node blames another request for the crashes that it observed itself.
		 */
		@ParameterizedTest
		@ValueSource(ints = { 1, 2 })
		void isBlockedOnceAPeerReportsMoreCrashes(int reported) {
			blockTheBystander();
			for (int i = 0; i < reported; i++) {
				crash(this.peer, 200 + i * 400L, 60, POISON);
			}
			passNote(3 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(isBlocked(this.bystander)).isFalse();
		}

		/** Guards against the same when both requests were at the same crashes. */
		@Test
		void isBlockedOnceAPeerBlocksIt() {
			blockTheBystander();
			for (int i = 0; i < 3; i++) {
				this.peer.onCrash(i * 400L, new Crash("engine-" + i, i * 400L, Map.of(POISON, 60L)));
			}
			CrashNote before = RepeatedContentTests.this.tracker.buildNote(2 * SECOND, CLOCK).orElseThrow();
			passNote(2 * SECOND);
			this.peer.onNote(2 * SECOND, CLOCK, before);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(this.peer.isBlocked(List.of(POISON))).isTrue();
		}

		/** Guards against the same when a peer blames yet another request. */
		@Test
		void isBlockedIfAPeerBlocksAnotherBystander() {
			blockTheBystander();
			Trait another = content("another-bystander");
			for (int i = 0; i < 3; i++) {
				long at = 50 + i * 350L;
				this.peer.onCrash(at, new Crash("peer-" + i, at, Map.of(POISON, 60L, another, 30L)));
			}
			assertThat(this.peer.isBlocked(List.of(another))).isTrue();
			passNote(3 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(isBlocked(this.bystander, another)).isFalse();
		}

		/**
		 * Guards against unblocking a content for a request that was at some of its
		 * crashes only.
		 */
		@Test
		void contentStaysBlockedBesideOneThatMissesACrash() {
			Trait elsewhere = content("elsewhere");
			for (int i = 0; i < 4; i++) {
				Trait[] ran = (i > 0) ? new Trait[] { POISON, elsewhere } : new Trait[] { POISON };
				crash(i * SECOND, ran);
			}
			assertThat(isBlocked(POISON)).isTrue();
			for (int i = 0; i < 2; i++) {
				crash(this.peer, 1500 + i * 400L, 60, elsewhere);
			}
			passNote(6 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(isBlocked(elsewhere)).isFalse();
		}

	}

	@Nested
	class DoesNotBlock {

		/** Guards against blocking a rare part for the one request that has it. */
		@Test
		void partsThatSucceedInOtherRequests() {
			for (int i = 0; i < 6; i++) {
				crash(i * 200L, SYSTEM, SUBJECT, POISON);
			}
			RepeatedContentTests.this.tracker.reevaluate(3 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(isBlocked(SYSTEM, SUBJECT)).isFalse();
		}

		/** Guards against blocking requests that were retried from crash to crash. */
		@Test
		void bystandersRetriedAlongside() {
			Trait bystander = content("a-bystander");
			for (int i = 0; i < 3; i++) {
				Map<Trait, Long> ran = Map.of(POISON, 30L, bystander, 400L);
				RepeatedContentTests.this.tracker.onCrash(i * SECOND, new Crash("engine-" + i, i * SECOND, ran));
			}
			RepeatedContentTests.this.tracker.reevaluate(3 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(isBlocked(bystander)).isFalse();
		}

		/**
		 * Guards against blocking a common part because peers have not yet reported that
		 * one request was at all of its crashes.
		 */
		@Test
		void partsWhoseCrashesPeersHaveYetToReport() {
			onSuccess(0, SYSTEM, SUBJECT);
			CrashTracker peer = new CrashTracker();
			for (int i = 1; i <= 6; i++) {
				long at = i * SECOND;
				Set<Trait> ran = (i <= 4) ? Set.of(SUBJECT, POISON) : Set.of(SUBJECT);
				RepeatedContentTests.this.tracker.onCrash(at, crashOf("engine-" + i, at, ran));
				peer.onCrash(at, crashOf("engine-" + i, at, Set.of(POISON)));
				onSuccess(at + 500, SYSTEM, content("sound-" + i));
			}
			RepeatedContentTests.this.tracker.reevaluate(6 * SECOND + 600);
			assertThat(isBlocked(SUBJECT)).isFalse();
			RepeatedContentTests.this.tracker.onNote(6 * SECOND + 700, CLOCK,
					peer.buildNote(6 * SECOND + 700, CLOCK).orElseThrow());
			RepeatedContentTests.this.tracker.reevaluate(9 * SECOND);
			assertThat(isBlocked(SUBJECT)).isFalse();
			assertThat(isBlocked(POISON)).isTrue();
		}

		private static Crash crashOf(String process, long at, Set<Trait> traits) {
			return new Crash(process, at, traits.stream().collect(Collectors.toMap((trait) -> trait, (trait) -> 60L)));
		}

		/**
		 * Guards against blocking a part under one model for the one request that has it.
		 */
		@Test
		void partsUnderOneModel() {
			Trait underModel = Trait.part("subject", "large");
			for (int i = 0; i < 8; i++) {
				crash(i * 100L, SYSTEM, underModel, POISON);
				onSuccess(i * 100L + 50, SYSTEM);
			}
			RepeatedContentTests.this.tracker.reevaluate(3 * SECOND);
			assertThat(isBlocked(POISON)).isTrue();
			assertThat(isBlocked(underModel)).isFalse();
		}

	}

	@Nested
	class AfterARestart {

		private final CrashTracker restarted = new CrashTracker();

		private void passNote(long now, CrashTracker from) {
			from.buildNote(now, CLOCK + now).ifPresent((note) -> this.restarted.onNote(now, CLOCK + now, note));
		}

		/**
		 * Guards against blocking harmless parts at a node that knows crashes from before
		 * its start but not the successes of that time.
		 */
		@Test
		void partsAtEarlierCrashesAreNotBlocked() {
			onSuccess(0, SYSTEM, SUBJECT);
			for (int i = 1; i < 6; i++) {
				List<Trait> beside = IntStream.range(8 * i, 8 * i + 8)
					.mapToObj((j) -> Trait.part("part-" + j))
					.toList();
				RepeatedContentTests.this.tracker.onSuccess(i * SECOND - 1, beside);
				List<Trait> ran = new ArrayList<>(beside);
				ran.addAll(List.of(SYSTEM, SUBJECT, content("own-" + i)));
				crash(i * SECOND, ran.toArray(Trait[]::new));
			}
			assertThat(isBlocked(SYSTEM, SUBJECT)).isFalse();
			this.restarted.reevaluate(9 * SECOND);
			passNote(10 * SECOND, RepeatedContentTests.this.tracker);
			this.restarted.reevaluate(12 * SECOND);
			assertThat(this.restarted.isBlocked(List.of(SYSTEM, SUBJECT))).isFalse();
		}

		@Test
		void contentAtEarlierCrashesIsBlockedAtItsNextOne() {
			crash(0, SYSTEM, POISON);
			crash(SECOND, SYSTEM, POISON);
			this.restarted.reevaluate(3 * SECOND);
			passNote(3 * SECOND, RepeatedContentTests.this.tracker);
			crash(this.restarted, 4 * SECOND, 20, SYSTEM, POISON);
			this.restarted.reevaluate(6 * SECOND);
			assertThat(this.restarted.isBlocked(List.of(POISON))).isTrue();
		}

		/**
		 * Guards against losing, with a node's first note after a restart, what it had
		 * reported before.
		 */
		@Test
		void ownEarlierNoteIsReportedAgain() {
			crash(0, POISON);
			passNote(SECOND, RepeatedContentTests.this.tracker);
			this.restarted.onOwnNote(SECOND, CLOCK + SECOND,
					RepeatedContentTests.this.tracker.buildNote(SECOND, CLOCK + SECOND).orElseThrow());
			crash(this.restarted, 2 * SECOND, 20, content("another"));
			assertThat(this.restarted.buildNote(3 * SECOND, CLOCK + 3 * SECOND).orElseThrow().crashes()).hasSize(2);
		}

		/** Guards against restoring a lifted block from an older note. */
		@Test
		void liftedBlockDoesNotComeBack() {
			for (int i = 0; i < 4; i++) {
				crash(i * SECOND, DEADLY_PART, content("own-" + i));
			}
			CrashNote before = RepeatedContentTests.this.tracker.buildNote(4 * SECOND, CLOCK + 4 * SECOND)
				.orElseThrow();
			CrashTracker other = new CrashTracker();
			other.onNote(5 * SECOND, CLOCK + 5 * SECOND, before);
			other.onSuccess(40 * SECOND, List.of(DEADLY_PART));
			crash(other, 50 * SECOND, 20, content("later"));
			this.restarted.onNote(60 * SECOND, CLOCK + 60 * SECOND, before);
			passNote(60 * SECOND, other);
			assertThat(this.restarted.isBlocked(List.of(DEADLY_PART))).isFalse();
		}

	}

}
