package org.gullsaddle.suspect;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

class CrashTrackerTests {

	private static final Trait FIRST = Trait.part("first");

	private static final Trait SUBJECT = Trait.part("subject");

	private static final Trait DEADLY = Trait.part("deadly");

	private static final long SECOND = 1000;

	private static final long CLOCK = 1_700_000_000_000L;

	private static final long FIRST_TRIAL = 30 * SECOND;

	private final CrashTracker tracker = new CrashTracker();

	private int processes;

	private static Trait content(String name) {
		return Trait.content(new Fingerprint(name));
	}

	private List<Trait> crash(long now, Trait... traits) {
		return crash(this.tracker, now, 20, "process-" + this.processes++, traits);
	}

	private static List<Trait> crash(CrashTracker tracker, long now, long ranMillis, String process, Trait... traits) {
		Map<Trait, Long> ran = new LinkedHashMap<>();
		Arrays.asList(traits).forEach((trait) -> ran.put(trait, ranMillis));
		return tracker.onCrash(now, new Crash(process, now, ran));
	}

	private boolean isBlocked(Trait... traits) {
		return this.tracker.isBlocked(List.of(traits));
	}

	private void blockDeadlyPart() {
		this.tracker.onSuccess(0, List.of(FIRST));
		for (int i = 0; i < 4; i++) {
			crash(i * SECOND, FIRST, DEADLY, content("own-" + i));
		}
		assertThat(isBlocked(DEADLY)).isTrue();
	}

	/** Guards against losing engines one by one to requests that share only a part. */
	@Test
	void partAtFourCrashesIsBlockedWhateverElseRequestsContain() {
		this.tracker.onSuccess(0, List.of(FIRST));
		for (int i = 0; i < 3; i++) {
			assertThat(crash(i * SECOND, FIRST, DEADLY, content("own-" + i))).isEmpty();
		}
		assertThat(crash(3 * SECOND, FIRST, DEADLY, content("own-3"))).containsExactly(DEADLY);
		assertThat(isBlocked(FIRST, DEADLY)).isTrue();
		assertThat(isBlocked(FIRST, SUBJECT)).isFalse();
	}

	/** Guards against a single request that is retried again and again. */
	@Test
	void contentAtThreeCrashesIsBlocked() {
		Trait content = content("poison");
		crash(0, content);
		crash(SECOND, content);
		assertThat(isBlocked(content)).isFalse();
		assertThat(crash(2 * SECOND, content)).containsExactly(content);
	}

	/**
	 * Guards against copies of a request that reach different nodes, each of which
	 * observes one crash.
	 */
	@Test
	void crashesReportedByPeersCount() {
		crash(0, DEADLY);
		for (int i = 1; i < 4; i++) {
			CrashTracker other = new CrashTracker();
			crash(other, i * SECOND, 20, "at-other-" + i, DEADLY);
			this.tracker.onNote(i * SECOND + 100, CLOCK, other.buildNote(i * SECOND + 100, CLOCK).orElseThrow());
		}
		assertThat(isBlocked(DEADLY)).isTrue();
	}

	@Test
	void crashReportedTwiceCountsOnce() {
		for (int i = 0; i < 3; i++) {
			crash(i * SECOND, DEADLY);
		}
		CrashNote note = this.tracker.buildNote(3 * SECOND, CLOCK).orElseThrow();
		this.tracker.onNote(4 * SECOND, CLOCK, note);
		this.tracker.onNote(5 * SECOND, CLOCK, note);
		assertThat(isBlocked(DEADLY)).isFalse();
	}

	/**
	 * Guards against a request that is not blocked because its crashes are close
	 * together.
	 */
	@Test
	void requestRetriedOnSeveralReplicasCountsAtEach() {
		for (int i = 0; i < 4; i++) {
			crash(100L * i, DEADLY);
		}
		assertThat(isBlocked(DEADLY)).isTrue();
	}

	/** Guards against a block derived from peers' notes that the node never reports. */
	@Test
	void blockIsReportedByOneNode() {
		blockDeadlyPart();
		assertThat(this.tracker.hasUnreportedBlocks()).isTrue();
		CrashTracker other = new CrashTracker();
		other.onNote(4 * SECOND, CLOCK, this.tracker.buildNote(4 * SECOND, CLOCK).orElseThrow());
		assertThat(this.tracker.hasUnreportedBlocks()).isFalse();
		assertThat(other.hasUnreportedBlocks()).isFalse();
	}

	/** Guards against nodes that reply to each other's notes forever. */
	@Test
	void noteWithoutNewsTriggersNoReply() {
		this.tracker.onSuccess(0, List.of(FIRST));
		for (int i = 1; i < 3; i++) {
			crash(i * SECOND, FIRST);
		}
		CrashTracker other = new CrashTracker();
		CrashNote note = this.tracker.buildNote(3 * SECOND, CLOCK).orElseThrow();
		other.onNote(3 * SECOND, CLOCK, note);
		other.onSuccess(4 * SECOND, List.of(FIRST));
		assertThat(other.shouldReportSuccess(List.of(FIRST))).isTrue();
		other.onNote(5 * SECOND, CLOCK, note);
		assertThat(other.shouldReportSuccess(List.of(FIRST))).isFalse();
		assertThat(other.isAwaitingNotes(14 * SECOND)).isFalse();
		assertThat(other.buildNote(5 * SECOND, CLOCK).orElseThrow().crashes()).isEmpty();
	}

	@Nested
	class DoesNotBlock {

		@Test
		void traitsAtSimultaneousCrashes() {
			for (int i = 0; i < 8; i++) {
				crash(CrashTrackerTests.this.tracker, 5000 + i, 900, "rack-" + i, FIRST, SUBJECT, content("own"));
			}
			assertThat(isBlocked(FIRST, SUBJECT, content("own"))).isFalse();
		}

		@Test
		void traitWithLaterSuccess() {
			for (int i = 0; i < 20; i++) {
				crash(i * SECOND, FIRST);
				CrashTrackerTests.this.tracker.onSuccess(i * SECOND + 500, List.of(FIRST));
			}
			assertThat(isBlocked(FIRST)).isFalse();
		}

		@Test
		void traitWithSuccessAtPeer() {
			CrashTracker other = new CrashTracker();
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, FIRST);
			}
			other.onNote(3 * SECOND, CLOCK, CrashTrackerTests.this.tracker.buildNote(3 * SECOND, CLOCK).orElseThrow());
			other.onSuccess(4 * SECOND, List.of(FIRST));
			assertThat(other.shouldReportSuccess(List.of(FIRST))).isTrue();
			assertThat(other.shouldReportSuccess(List.of(FIRST))).isFalse();
			CrashTrackerTests.this.tracker.onNote(4 * SECOND, CLOCK, other.buildNote(4 * SECOND, CLOCK).orElseThrow());
			crash(5 * SECOND, FIRST);
			assertThat(isBlocked(FIRST)).isFalse();
		}

		/**
		 * Guards against blocking a part of all requests for the crashes of a part of
		 * some.
		 */
		@Test
		void succeededTraitBesideOneThatNeverSucceeded() {
			CrashTrackerTests.this.tracker.onSuccess(0, List.of(FIRST, SUBJECT));
			for (int i = 1; i < 12; i++) {
				crash(i * SECOND, FIRST, SUBJECT, DEADLY);
			}
			assertThat(isBlocked(DEADLY)).isTrue();
			assertThat(isBlocked(FIRST, SUBJECT)).isFalse();
		}

		/**
		 * Guards against blocking a whole service when its replicas fail on their own.
		 */
		@Test
		void traitOfAllRequestsWhileNoneSucceeds() {
			CrashTrackerTests.this.tracker.onSuccess(0, List.of(FIRST));
			for (int i = 1; i < 30; i++) {
				crash(i * SECOND, FIRST, Trait.part("subject-" + i));
			}
			assertThat(isBlocked(FIRST)).isFalse();
		}

		@Test
		void contentWhoseCrashesAPartExplains() {
			Trait unlucky = content("unlucky");
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, unlucky, DEADLY);
			}
			assertThat(isBlocked(unlucky)).isFalse();
			CrashTrackerTests.this.tracker.reevaluate(3 * SECOND);
			assertThat(isBlocked(unlucky)).isTrue();
			crash(4 * SECOND, DEADLY);
			assertThat(isBlocked(unlucky)).isFalse();
			assertThat(isBlocked(DEADLY)).isTrue();
		}

		/**
		 * Guards against blocking the wrong part before a peer's observation of the same
		 * crashes arrives.
		 */
		@Test
		void partAtFourCrashesBeforePeersReport() {
			CrashTracker other = new CrashTracker();
			for (int i = 0; i < 4; i++) {
				crash(other, i * SECOND, 20, "process-" + i, DEADLY);
				crash(i * SECOND, (i < 3) ? new Trait[] { SUBJECT, DEADLY } : new Trait[] { SUBJECT });
			}
			assertThat(isBlocked(SUBJECT)).isFalse();
			crash(3 * SECOND + 500, DEADLY);
			CrashTrackerTests.this.tracker.onNote(3 * SECOND + 700, CLOCK,
					other.buildNote(3 * SECOND, CLOCK).orElseThrow());
			CrashTrackerTests.this.tracker.reevaluate(4 * SECOND);
			assertThat(isBlocked(DEADLY)).isTrue();
			assertThat(isBlocked(SUBJECT)).isFalse();
		}

		@Test
		void contentBlockedByPeerThatMissesThePart() {
			Trait unlucky = content("unlucky");
			CrashTracker other = new CrashTracker();
			for (int i = 0; i < 3; i++) {
				crash(other, i * SECOND, 20, "at-other-" + i, unlucky, DEADLY);
			}
			CrashNote note = other.buildNote(3 * SECOND, CLOCK).orElseThrow();
			blockDeadlyPart();
			CrashTrackerTests.this.tracker.onNote(4 * SECOND, CLOCK, note);
			assertThat(isBlocked(unlucky)).isFalse();
		}

		/**
		 * Guards against crashes that a node reports because it is cut off from replicas.
		 */
		@Test
		void requestsOnReplicasThatAreAlive() {
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, DEADLY);
			}
			CrashTrackerTests.this.tracker.onAlive("process-0", 3 * SECOND);
			crash(4 * SECOND, DEADLY);
			assertThat(isBlocked(DEADLY)).isFalse();
		}

	}

	@Nested
	class UnderOneModel {

		private static final Trait UNDER_LARGE = Trait.part("subject", "large");

		/** Guards against losing engines to a part that succeeds under other models. */
		@Test
		void partIsBlockedForTheModelThatCrashes() {
			for (int i = 0; i < 6; i++) {
				crash(i * SECOND, FIRST, SUBJECT, UNDER_LARGE);
				CrashTrackerTests.this.tracker.onSuccess(i * SECOND + 500,
						List.of(FIRST, SUBJECT, Trait.part("subject", "small")));
			}
			assertThat(isBlocked(FIRST, SUBJECT, UNDER_LARGE)).isTrue();
			assertThat(isBlocked(FIRST, SUBJECT, Trait.part("subject", "small"))).isFalse();
		}

		@Test
		void partThatCrashesAllModelsIsBlockedForAll() {
			for (int i = 0; i < 4; i++) {
				crash(i * SECOND, DEADLY, Trait.part("deadly", (i % 2 == 0) ? "small" : "large"));
			}
			assertThat(isBlocked(DEADLY)).isTrue();
		}

	}

	@Nested
	class TraitWithEarlierSuccess {

		/**
		 * Guards against a part that starts to crash engines late and is never blocked.
		 */
		@Test
		void isBlockedAfterSixCrashesWhileOthersSucceed() {
			CrashTrackerTests.this.tracker.onSuccess(0, List.of(SUBJECT));
			for (int i = 1; i <= 5; i++) {
				crash(i * SECOND, SUBJECT);
				CrashTrackerTests.this.tracker.onSuccess(i * SECOND + 200, List.of(FIRST));
			}
			assertThat(isBlocked(SUBJECT)).isFalse();
			assertThat(crash(6 * SECOND, SUBJECT)).containsExactly(SUBJECT);
		}

	}

	@Nested
	class ABlock {

		/** Guards against a block that ends while such requests still arrive. */
		@Test
		void lastsWhileSuchRequestsArrive() {
			blockDeadlyPart();
			for (long now = 0; now < 3_600_000; now += 60 * SECOND) {
				CrashTrackerTests.this.tracker.onRequest(now, List.of(DEADLY));
				CrashTrackerTests.this.tracker.buildNote(now, CLOCK + now);
				assertThat(isBlocked(DEADLY)).isTrue();
			}
			CrashTrackerTests.this.tracker.buildNote(4_300_000, CLOCK);
			assertThat(isBlocked(DEADLY)).isFalse();
		}

		@Test
		void isTakenFromAPeersNote() {
			blockDeadlyPart();
			CrashTracker other = new CrashTracker();
			CrashNote note = CrashTrackerTests.this.tracker.buildNote(4 * SECOND, CLOCK).orElseThrow();
			assertThat(other.onNote(50_000, CLOCK + 100, note).blocked()).containsExactly(DEADLY);
			assertThat(other.isBlocked(List.of(DEADLY))).isTrue();
		}

		/** Guards against reviving a block whose requests stopped long ago. */
		@Test
		void isNotTakenFromAnOldNote() {
			blockDeadlyPart();
			CrashTracker other = new CrashTracker();
			CrashNote note = CrashTrackerTests.this.tracker.buildNote(4 * SECOND, CLOCK).orElseThrow();
			other.onNote(50_000, CLOCK + 700_000, note);
			assertThat(other.isBlocked(List.of(DEADLY))).isFalse();
		}

		@Test
		void endsOnceARequestSucceeds() {
			blockDeadlyPart();
			assertThat(CrashTrackerTests.this.tracker.onSuccess(5 * SECOND, List.of(FIRST, DEADLY)))
				.containsExactly(DEADLY);
			assertThat(isBlocked(DEADLY)).isFalse();
		}

		@Test
		void isNotRestoredFromAnEarlierNote() {
			blockDeadlyPart();
			CrashNote before = CrashTrackerTests.this.tracker.buildNote(4 * SECOND, CLOCK).orElseThrow();
			CrashTrackerTests.this.tracker.onSuccess(5 * SECOND, List.of(DEADLY));
			CrashTrackerTests.this.tracker.onNote(60 * SECOND, CLOCK + 56 * SECOND, before);
			assertThat(isBlocked(DEADLY)).isFalse();
		}

		@Test
		void isTriedAtGrowingIntervals() {
			blockDeadlyPart();
			long now = 3 * SECOND;
			for (int number = 1; number <= 3; number++) {
				long delay = FIRST_TRIAL << (2 * (number - 1));
				assertThat(CrashTrackerTests.this.tracker.retryAfterMillis(now, List.of(DEADLY))).isEqualTo(delay);
				assertThat(CrashTrackerTests.this.tracker.findTrial(now + delay - 1, List.of(DEADLY))).isEmpty();
				now += delay;
				CrashTracker.Trial trial = CrashTrackerTests.this.tracker.findTrial(now, List.of(DEADLY)).orElseThrow();
				assertThat(trial).isEqualTo(new CrashTracker.Trial(DEADLY, number));
				CrashTrackerTests.this.tracker.onTrialDecided(now, trial);
				CrashTrackerTests.this.tracker.onTrialDecided(now, trial);
			}
		}

	}

	@Nested
	class Limits {

		/** Guards against a caller that evicts a block by sending many parts. */
		@Test
		void manyPartsAtCrashesEvictNoBlock() {
			blockDeadlyPart();
			for (int i = 0; i < 2000; i++) {
				crash(10 * SECOND + i, Trait.part("part-" + i), Trait.part("more-" + i));
				CrashTrackerTests.this.tracker.onSuccess(10 * SECOND + i, List.of(Trait.part("sound-" + i)));
			}
			assertThat(isBlocked(DEADLY)).isTrue();
		}

		@Test
		void notesAreBounded() {
			for (int i = 0; i < 300; i++) {
				Trait[] traits = new Trait[200];
				for (int j = 0; j < traits.length; j++) {
					traits[j] = Trait.part("part-" + i + "-" + j);
				}
				crash(10 * SECOND + i, traits);
			}
			CrashNote note = CrashTrackerTests.this.tracker.buildNote(20 * SECOND, CLOCK).orElseThrow();
			assertThat(note.crashes()).hasSize(16).allSatisfy((crash) -> assertThat(crash.ran()).hasSize(24));
		}

	}

}
