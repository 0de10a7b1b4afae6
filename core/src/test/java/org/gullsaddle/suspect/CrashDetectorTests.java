package org.gullsaddle.suspect;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.suspect.CrashDetector.EndKind;

import static org.assertj.core.api.Assertions.assertThat;

class CrashDetectorTests {

	private static final Trait DEADLY = Trait.part("deadly");

	private static final Trait OTHER = Trait.part("other");

	private final CrashDetector detector = new CrashDetector();

	private static Replica replica(String id) {
		return replica(id, 1);
	}

	private static Replica replica(String id, long born) {
		return new Replica(new ReplicaId(id), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", "v1", 8,
				false, born);
	}

	private Optional<Crash> onAttemptEnd(long now, long startedAt, EndKind kind, Trait trait) {
		return this.detector.onAttemptEnd(now, replica("r1"), startedAt, kind, List.of(trait));
	}

	private Optional<Crash> onDead(long now) {
		return this.detector.onDead(now, new ReplicaId("r1"));
	}

	@Test
	void crashIncludesAttemptsWhoseConnectionsBroke() {
		onAttemptEnd(700, 100, EndKind.BROKEN, DEADLY);
		onAttemptEnd(710, 600, EndKind.BROKEN, OTHER);
		Crash crash = onDead(760).orElseThrow();
		assertThat(crash.at()).isEqualTo(710);
		assertThat(crash.traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		assertThat(crash.lastRequestAt(DEADLY)).isEqualTo(110);
	}

	/**
	 * Guards against missing crashes of replicas that are about to stop.
	 */
	@Test
	void deathSoonAfterALeavingNoticeIsACrash() {
		this.detector.onLeaving(0, new ReplicaId("r1"));
		onAttemptEnd(700, 100, EndKind.BROKEN, DEADLY);
		assertThat(onDead(760)).isPresent();
	}

	/** Guards against blaming requests for the planned stop of their replica. */
	@Test
	void laterDeathOfALeavingReplicaIsNoCrash() {
		this.detector.onLeaving(0, new ReplicaId("r1"));
		onAttemptEnd(1700, 100, EndKind.BROKEN, DEADLY);
		assertThat(onDead(1760)).isEmpty();
		this.detector.onListed(2000, replica("r1", 2));
		this.detector.onAttemptEnd(4000, replica("r1", 2), 3900, EndKind.BROKEN, List.of(DEADLY));
		assertThat(onDead(4060)).isPresent();
	}

	/** Guards against close-delimited answers that are never confirmed. */
	@Test
	void repeatedCloseDelimitedContentIsDetected() {
		assertThat(this.detector.recordCloseDelimited(OTHER)).isFalse();
		assertThat(this.detector.recordCloseDelimited(DEADLY)).isFalse();
		assertThat(this.detector.recordCloseDelimited(DEADLY)).isTrue();
	}

	@Test
	void brokenConnectionAloneIsNoCrash() {
		onAttemptEnd(0, 0, EndKind.BROKEN, OTHER);
		assertThat(onDead(7000)).isEmpty();
	}

	/**
	 * Guards against missing a crash when the replica restarts under its id before its
	 * entry lapses.
	 */
	@Test
	void newProcessUnderTheSameIdRevealsACrash() {
		onAttemptEnd(0, 0, EndKind.BROKEN, DEADLY);
		assertThat(this.detector.onListed(100, replica("r1"))).isEmpty();
		assertThat(this.detector.onListed(2000, replica("r1", 2))).isPresent();
	}

	/** Guards against recording a success when the engine dies within its answer. */
	@Test
	void closeDelimitedAnswerThatEndsAsItsReplicaDiesIsPartOfTheCrash() {
		onAttemptEnd(500, 400, EndKind.CLOSE_DELIMITED, DEADLY);
		assertThat(onDead(600).orElseThrow().traits()).containsExactly(DEADLY);
	}

	@Test
	void closeDelimitedAnswerIsCompleteIfItsReplicaAnswersALaterRequest() {
		onAttemptEnd(500, 400, EndKind.CLOSE_DELIMITED, OTHER);
		assertThat(this.detector.onAnswer(replica("r1"), 450)).isEmpty();
		assertThat(this.detector.onAnswer(replica("r1"), 501)).containsExactly(OTHER);
		assertThat(onDead(600)).isEmpty();
	}

	@Test
	void acceptedConnectionDoesNotExplainBrokenOnes() {
		onAttemptEnd(500, 400, EndKind.CLOSE_DELIMITED, OTHER);
		onAttemptEnd(500, 400, EndKind.BROKEN, DEADLY);
		assertThat(this.detector.onConnectionAccepted(replica("r1"), 550)).containsExactly(OTHER);
		assertThat(onDead(900).orElseThrow().traits()).containsExactly(DEADLY);
	}

	/** Guards against blaming harmless requests for a replica that is removed later. */
	@Test
	void closeDelimitedAnswerIsNoPartOfALaterCrash() {
		onAttemptEnd(500, 400, EndKind.CLOSE_DELIMITED, OTHER);
		assertThat(onDead(3000)).isEmpty();
	}

	/** Guards against losing evidence when a caller leaves while a replica dies. */
	@Test
	void attemptCancelledWhileAReplicaDiesIsPartOfTheCrash() {
		onAttemptEnd(100, 0, EndKind.CANCELLED, DEADLY);
		assertThat(onDead(200)).isEmpty();
		onAttemptEnd(300, 0, EndKind.CANCELLED, DEADLY);
		onAttemptEnd(400, 0, EndKind.BROKEN, OTHER);
		assertThat(onDead(450).orElseThrow().traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
	}

	@Test
	void attemptThatBreaksAfterTheReplicaWasFoundDeadIsPartOfTheSameCrash() {
		onAttemptEnd(100, 0, EndKind.BROKEN, OTHER);
		Crash crash = onDead(150).orElseThrow();
		Crash more = onAttemptEnd(160, 50, EndKind.BROKEN, DEADLY).orElseThrow();
		assertThat(more.processName()).isEqualTo(crash.processName());
		assertThat(crash.merge(more).traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		assertThat(onAttemptEnd(5000, 4900, EndKind.BROKEN, DEADLY)).isEmpty();
	}

	@Nested
	class Excludes {

		@Test
		void attemptThatBrokeBeforeTheReplicaAnsweredAnother() {
			onAttemptEnd(100, 0, EndKind.BROKEN, OTHER);
			CrashDetectorTests.this.detector.onAnswer(replica("r1"), 200);
			assertThat(onDead(300)).isEmpty();
		}

		@Test
		void attemptThatBrokeLongBeforeTheOthers() {
			onAttemptEnd(100, 0, EndKind.BROKEN, OTHER);
			onAttemptEnd(2000, 1900, EndKind.BROKEN, DEADLY);
			assertThat(onDead(2100).orElseThrow().traits()).containsExactly(DEADLY);
		}

	}

	@Nested
	class OfASilentReplica {

		private Optional<Crash> onSilentEnd(long now, long startedAt, long silentSince, Trait trait) {
			return CrashDetectorTests.this.detector.onAttemptEnd(now, replica("r1"), startedAt,
					OptionalLong.of(silentSince), EndKind.CANCELLED, List.of(trait));
		}

		private Optional<Crash> onUnlisted(long now) {
			return CrashDetectorTests.this.detector.onUnlisted(now, new ReplicaId("r1"));
		}

		/** Guards against missing the end of a replica whose attempts were given up. */
		@Test
		void attemptsGivenUpForSilenceArePartOfTheCrash() {
			onSilentEnd(1000, 100, 200, DEADLY);
			onSilentEnd(1100, 300, 300, OTHER);
			Crash crash = onUnlisted(3800).orElseThrow();
			assertThat(crash.at()).isEqualTo(300);
			assertThat(crash.lastRequestAt(DEADLY)).isEqualTo(100);
			assertThat(crash.traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		}

		@Test
		void attemptThatItsCallerLeftDuringTheSilenceIsPartOfTheCrash() {
			onAttemptEnd(150, 100, EndKind.CANCELLED, OTHER);
			onAttemptEnd(500, 100, EndKind.CANCELLED, DEADLY);
			onSilentEnd(1000, 100, 200, DEADLY);
			assertThat(onUnlisted(3800).orElseThrow().traits()).containsExactly(DEADLY);
		}

		/** Guards against missing an attempt that outlasts its replica's entry. */
		@Test
		void attemptThatEndsAfterTheEntryIsGoneIsPartOfTheCrash() {
			assertThat(onUnlisted(3000)).isEmpty();
			Crash crash = onSilentEnd(5000, 100, 200, DEADLY).orElseThrow();
			Crash more = onSilentEnd(5500, 150, 200, OTHER).orElseThrow();
			assertThat(crash.merge(more).traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		}

		@Test
		void attemptThatEndsAfterANewProcessIsListedIsPartOfTheCrash() {
			CrashDetectorTests.this.detector.onListed(0, replica("r1"));
			CrashDetectorTests.this.detector.onListed(3000, replica("r1", 2));
			assertThat(onSilentEnd(5000, 100, 200, DEADLY)).isPresent();
		}

		@Test
		void listedReplicaHasNotCrashed() {
			CrashDetectorTests.this.detector.onListed(0, replica("r1"));
			assertThat(onSilentEnd(5000, 100, 200, DEADLY)).isEmpty();
		}

		/** Guards against blaming requests that were sent to a silent replica. */
		@Test
		void attemptSentLongAfterItWentSilentIsNoPartOfTheCrash() {
			onSilentEnd(1000, 100, 200, DEADLY);
			onSilentEnd(2000, 1100, 1100, OTHER);
			assertThat(onUnlisted(3800).orElseThrow().traits()).containsExactly(DEADLY);
		}

		@Test
		void replicaThatIsHeardAgainHasNotCrashed() {
			onSilentEnd(1000, 100, 200, OTHER);
			CrashDetectorTests.this.detector.onBytes(replica("r1"));
			assertThat(onUnlisted(3800)).isEmpty();
		}

		@Test
		void replicaThatIsHeardAfterItWasTakenForDeadIsReported() {
			onSilentEnd(1000, 100, 200, OTHER);
			assertThat(onUnlisted(3800)).isPresent();
			assertThat(CrashDetectorTests.this.detector.onBytes(replica("r1", 2))).isFalse();
			assertThat(CrashDetectorTests.this.detector.onBytes(replica("r1"))).isTrue();
			assertThat(CrashDetectorTests.this.detector.onBytes(replica("r1"))).isFalse();
		}

		/** Guards against blaming requests for the planned stop of their replica. */
		@Test
		void replicaThatGoesSilentAfterItsLeavingNoticeHasNotCrashed() {
			CrashDetectorTests.this.detector.onLeaving(0, new ReplicaId("r1"));
			onSilentEnd(1000, 100, 200, OTHER);
			assertThat(onUnlisted(3800)).isEmpty();
		}

	}

}
