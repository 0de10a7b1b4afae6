package org.gullsaddle.suspect;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

class CrashBookTests {

	private static final Trait FIRST = Trait.part("first");

	private static final Trait SUBJECT = Trait.part("subject");

	private static final Trait DEADLY = Trait.part("deadly");

	private static final long SECOND = 1000;

	private static final long CLOCK = 1_700_000_000_000L;

	private static final long FIRST_TRIAL = 30 * SECOND;

	private final CrashBook book = new CrashBook();

	private int processes;

	private static Trait content(String name) {
		return Trait.content(new Fingerprint(name));
	}

	private List<Trait> crash(long now, Trait... traits) {
		return crash(this.book, now, 20, "process-" + this.processes++, traits);
	}

	private static List<Trait> crash(CrashBook book, long now, long ranMillis, String process, Trait... traits) {
		Map<Trait, Long> ran = new LinkedHashMap<>();
		Arrays.asList(traits).forEach((trait) -> ran.put(trait, ranMillis));
		return book.crashed(now, new Crash(process, now, ran));
	}

	private boolean refuses(Trait... traits) {
		return this.book.refuses(List.of(traits));
	}

	private void convict() {
		this.book.sound(0, List.of(FIRST));
		for (int i = 0; i < 4; i++) {
			crash(i * SECOND, FIRST, DEADLY, content("own-" + i));
		}
		assertThat(refuses(DEADLY)).isTrue();
	}

	/** Guards against engines lost one by one to requests of which no two are alike. */
	@Test
	void partAtFourCrashesIsRefusedWhateverElseTheRequestsHold() {
		this.book.sound(0, List.of(FIRST));
		for (int i = 0; i < 3; i++) {
			assertThat(crash(i * SECOND, FIRST, DEADLY, content("own-" + i))).isEmpty();
		}
		assertThat(crash(3 * SECOND, FIRST, DEADLY, content("own-3"))).containsExactly(DEADLY);
		assertThat(refuses(FIRST, DEADLY)).isTrue();
		assertThat(refuses(FIRST, SUBJECT)).isFalse();
	}

	/** Guards against one request that is sent again and again. */
	@Test
	void contentAtThreeCrashesIsRefused() {
		Trait content = content("poison");
		crash(0, content);
		crash(SECOND, content);
		assertThat(refuses(content)).isFalse();
		assertThat(crash(2 * SECOND, content)).containsExactly(content);
	}

	/**
	 * Guards against copies of a request that come to different nodes, of which each sees
	 * one crash.
	 */
	@Test
	void crashesThatOtherNodesSawCount() {
		crash(0, DEADLY);
		for (int i = 1; i < 4; i++) {
			CrashBook other = new CrashBook();
			crash(other, i * SECOND, 20, "at-other-" + i, DEADLY);
			this.book.learn(i * SECOND + 100, CLOCK, other.note(i * SECOND + 100, CLOCK).orElseThrow());
		}
		assertThat(refuses(DEADLY)).isTrue();
	}

	@Test
	void sameCrashHeardOfTwiceCountsOnce() {
		for (int i = 0; i < 3; i++) {
			crash(i * SECOND, DEADLY);
		}
		CrashNote note = this.book.note(3 * SECOND, CLOCK).orElseThrow();
		this.book.learn(4 * SECOND, CLOCK, note);
		this.book.learn(5 * SECOND, CLOCK, note);
		assertThat(refuses(DEADLY)).isFalse();
	}

	/**
	 * Guards against a request that is let go as the evidence against it is of one
	 * moment.
	 */
	@Test
	void requestThatMovedFromOneReplicaToTheNextIsEvidenceByEachOfThem() {
		for (int i = 0; i < 4; i++) {
			crash(100L * i, DEADLY);
		}
		assertThat(refuses(DEADLY)).isTrue();
	}

	/** Guards against what one node found out from others' notes and keeps to itself. */
	@Test
	void whatIsFoundOutIsToldByOneNode() {
		convict();
		assertThat(this.book.untold()).isTrue();
		CrashBook other = new CrashBook();
		other.learn(4 * SECOND, CLOCK, this.book.note(4 * SECOND, CLOCK).orElseThrow());
		assertThat(this.book.untold()).isFalse();
		assertThat(other.untold()).isFalse();
	}

	/** Guards against nodes that answer each other's notes for ever. */
	@Test
	void noteThatTellsNothingNewCallsForNoAnswer() {
		this.book.sound(0, List.of(FIRST));
		for (int i = 1; i < 3; i++) {
			crash(i * SECOND, FIRST);
		}
		CrashBook other = new CrashBook();
		CrashNote note = this.book.note(3 * SECOND, CLOCK).orElseThrow();
		other.learn(3 * SECOND, CLOCK, note);
		other.sound(4 * SECOND, List.of(FIRST));
		assertThat(other.speaksFor(List.of(FIRST))).isTrue();
		other.learn(5 * SECOND, CLOCK, note);
		assertThat(other.speaksFor(List.of(FIRST))).isFalse();
		assertThat(other.unsettled(14 * SECOND)).isFalse();
		assertThat(other.note(5 * SECOND, CLOCK).orElseThrow().crashes()).isEmpty();
	}

	@Nested
	class Spares {

		@Test
		void whatARackTookAwayInOneMoment() {
			for (int i = 0; i < 8; i++) {
				crash(CrashBookTests.this.book, 5000 + i, 900, "rack-" + i, FIRST, SUBJECT, content("own"));
			}
			assertThat(refuses(FIRST, SUBJECT, content("own"))).isFalse();
		}

		@Test
		void whatWentWellSince() {
			for (int i = 0; i < 20; i++) {
				crash(i * SECOND, FIRST);
				CrashBookTests.this.book.sound(i * SECOND + 500, List.of(FIRST));
			}
			assertThat(refuses(FIRST)).isFalse();
		}

		@Test
		void whatWentWellAtAnotherNode() {
			CrashBook other = new CrashBook();
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, FIRST);
			}
			other.learn(3 * SECOND, CLOCK, CrashBookTests.this.book.note(3 * SECOND, CLOCK).orElseThrow());
			other.sound(4 * SECOND, List.of(FIRST));
			assertThat(other.speaksFor(List.of(FIRST))).isTrue();
			assertThat(other.speaksFor(List.of(FIRST))).isFalse();
			CrashBookTests.this.book.learn(4 * SECOND, CLOCK, other.note(4 * SECOND, CLOCK).orElseThrow());
			crash(5 * SECOND, FIRST);
			assertThat(refuses(FIRST)).isFalse();
		}

		/**
		 * Guards against the part that all requests have, blamed for one that some have.
		 */
		@Test
		void whatIsAtTheSameCrashesAsOneThatWasNeverSound() {
			CrashBookTests.this.book.sound(0, List.of(FIRST, SUBJECT));
			for (int i = 1; i < 12; i++) {
				crash(i * SECOND, FIRST, SUBJECT, DEADLY);
			}
			assertThat(refuses(DEADLY)).isTrue();
			assertThat(refuses(FIRST, SUBJECT)).isFalse();
		}

		/**
		 * Guards against all of a service refused when its replicas fail by themselves.
		 */
		@Test
		void whatAllRequestsHaveWhileNoneGoesWell() {
			CrashBookTests.this.book.sound(0, List.of(FIRST));
			for (int i = 1; i < 30; i++) {
				crash(i * SECOND, FIRST, Trait.part("subject-" + i));
			}
			assertThat(refuses(FIRST)).isFalse();
		}

		@Test
		void contentsWhoseCrashesAPartExplains() {
			Trait unlucky = content("unlucky");
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, unlucky, DEADLY);
			}
			assertThat(refuses(unlucky)).isFalse();
			CrashBookTests.this.book.look(3 * SECOND);
			assertThat(refuses(unlucky)).isTrue();
			crash(4 * SECOND, DEADLY);
			assertThat(refuses(unlucky)).isFalse();
			assertThat(refuses(DEADLY)).isTrue();
		}

		/**
		 * Guards against a part that is blamed as what another node saw of the same
		 * crashes has not come yet.
		 */
		@Test
		void partThatIsAtFourCrashesBeforeAllIsKnownOfThem() {
			CrashBook other = new CrashBook();
			for (int i = 0; i < 4; i++) {
				crash(other, i * SECOND, 20, "process-" + i, DEADLY);
				crash(i * SECOND, (i < 3) ? new Trait[] { SUBJECT, DEADLY } : new Trait[] { SUBJECT });
			}
			assertThat(refuses(SUBJECT)).isFalse();
			crash(3 * SECOND + 500, DEADLY);
			CrashBookTests.this.book.learn(3 * SECOND + 700, CLOCK, other.note(3 * SECOND, CLOCK).orElseThrow());
			CrashBookTests.this.book.look(4 * SECOND);
			assertThat(refuses(DEADLY)).isTrue();
			assertThat(refuses(SUBJECT)).isFalse();
		}

		@Test
		void contentsThatAnotherNodeRefusesWithoutKnowingThePart() {
			Trait unlucky = content("unlucky");
			CrashBook other = new CrashBook();
			for (int i = 0; i < 3; i++) {
				crash(other, i * SECOND, 20, "at-other-" + i, unlucky, DEADLY);
			}
			CrashNote note = other.note(3 * SECOND, CLOCK).orElseThrow();
			convict();
			CrashBookTests.this.book.learn(4 * SECOND, CLOCK, note);
			assertThat(refuses(unlucky)).isFalse();
		}

		/** Guards against crashes that a node sees as it is cut off from replicas. */
		@Test
		void whatRanAtReplicasThatLive() {
			for (int i = 0; i < 3; i++) {
				crash(i * SECOND, DEADLY);
			}
			CrashBookTests.this.book.alive("process-0", 3 * SECOND);
			crash(4 * SECOND, DEADLY);
			assertThat(refuses(DEADLY)).isFalse();
		}

	}

	@Nested
	class UnderOneModel {

		private static final Trait UNDER_LARGE = Trait.part("subject", "large");

		/** Guards against engines lost to a part that other models bear. */
		@Test
		void partIsRefusedForTheModelThatCrashesOnIt() {
			for (int i = 0; i < 6; i++) {
				crash(i * SECOND, FIRST, SUBJECT, UNDER_LARGE);
				CrashBookTests.this.book.sound(i * SECOND + 500,
						List.of(FIRST, SUBJECT, Trait.part("subject", "small")));
			}
			assertThat(refuses(FIRST, SUBJECT, UNDER_LARGE)).isTrue();
			assertThat(refuses(FIRST, SUBJECT, Trait.part("subject", "small"))).isFalse();
		}

		@Test
		void partThatCrashesAllModelsIsRefusedForAll() {
			for (int i = 0; i < 4; i++) {
				crash(i * SECOND, DEADLY, Trait.part("deadly", (i % 2 == 0) ? "small" : "large"));
			}
			assertThat(refuses(DEADLY)).isTrue();
		}

	}

	@Nested
	class WhatWasSoundBefore {

		/**
		 * Guards against a part that begins to crash engines late, and is never refused.
		 */
		@Test
		void isRefusedAfterSixCrashesWhileOthersGoWell() {
			CrashBookTests.this.book.sound(0, List.of(SUBJECT));
			for (int i = 1; i <= 5; i++) {
				crash(i * SECOND, SUBJECT);
				CrashBookTests.this.book.sound(i * SECOND + 200, List.of(FIRST));
			}
			assertThat(refuses(SUBJECT)).isFalse();
			assertThat(crash(6 * SECOND, SUBJECT)).containsExactly(SUBJECT);
		}

	}

	@Nested
	class ARefusal {

		/** Guards against a refusal that ends while such requests still come. */
		@Test
		void lastsAsLongAsSuchRequestsCome() {
			convict();
			for (long now = 0; now < 3_600_000; now += 60 * SECOND) {
				CrashBookTests.this.book.seen(now, List.of(DEADLY));
				CrashBookTests.this.book.note(now, CLOCK + now);
				assertThat(refuses(DEADLY)).isTrue();
			}
			CrashBookTests.this.book.note(4_300_000, CLOCK);
			assertThat(refuses(DEADLY)).isFalse();
		}

		@Test
		void isLearntFromAnotherNode() {
			convict();
			CrashBook other = new CrashBook();
			CrashNote note = CrashBookTests.this.book.note(4 * SECOND, CLOCK).orElseThrow();
			assertThat(other.learn(50_000, CLOCK + 100, note).refused()).containsExactly(DEADLY);
			assertThat(other.refuses(List.of(DEADLY))).isTrue();
		}

		/** Guards against what was refused long ago and never again asked for. */
		@Test
		void isNotLearntFromANoteOfLongAgo() {
			convict();
			CrashBook other = new CrashBook();
			CrashNote note = CrashBookTests.this.book.note(4 * SECOND, CLOCK).orElseThrow();
			other.learn(50_000, CLOCK + 700_000, note);
			assertThat(other.refuses(List.of(DEADLY))).isFalse();
		}

		@Test
		void endsOnceARequestWentWell() {
			convict();
			assertThat(CrashBookTests.this.book.sound(5 * SECOND, List.of(FIRST, DEADLY))).containsExactly(DEADLY);
			assertThat(refuses(DEADLY)).isFalse();
		}

		@Test
		void isNotTakenUpAgainFromANoteOfBefore() {
			convict();
			CrashNote before = CrashBookTests.this.book.note(4 * SECOND, CLOCK).orElseThrow();
			CrashBookTests.this.book.sound(5 * SECOND, List.of(DEADLY));
			CrashBookTests.this.book.learn(60 * SECOND, CLOCK + 56 * SECOND, before);
			assertThat(refuses(DEADLY)).isFalse();
		}

		@Test
		void isTriedEverMoreRarely() {
			convict();
			long now = 3 * SECOND;
			for (int number = 1; number <= 3; number++) {
				long pause = FIRST_TRIAL << (2 * (number - 1));
				assertThat(CrashBookTests.this.book.backMillis(now, List.of(DEADLY))).isEqualTo(pause);
				assertThat(CrashBookTests.this.book.trial(now + pause - 1, List.of(DEADLY))).isEmpty();
				now += pause;
				CrashBook.Trial trial = CrashBookTests.this.book.trial(now, List.of(DEADLY)).orElseThrow();
				assertThat(trial).isEqualTo(new CrashBook.Trial(DEADLY, number));
				CrashBookTests.this.book.tried(now, trial);
				CrashBookTests.this.book.tried(now, trial);
			}
		}

	}

	@Nested
	class Bounds {

		/** Guards against a caller who pushes a refusal out by naming many parts. */
		@Test
		void manyPartsAtCrashesPushNoRefusalOut() {
			convict();
			for (int i = 0; i < 2000; i++) {
				crash(10 * SECOND + i, Trait.part("part-" + i), Trait.part("more-" + i));
				CrashBookTests.this.book.sound(10 * SECOND + i, List.of(Trait.part("sound-" + i)));
			}
			assertThat(refuses(DEADLY)).isTrue();
		}

		@Test
		void notesStaySmall() {
			for (int i = 0; i < 300; i++) {
				Trait[] traits = new Trait[200];
				for (int j = 0; j < traits.length; j++) {
					traits[j] = Trait.part("part-" + i + "-" + j);
				}
				crash(10 * SECOND + i, traits);
			}
			CrashNote note = CrashBookTests.this.book.note(20 * SECOND, CLOCK).orElseThrow();
			assertThat(note.crashes()).hasSize(16).allSatisfy((crash) -> assertThat(crash.ran()).hasSize(24));
		}

	}

}
