package org.gullsaddle.suspect;

import java.util.List;
import java.util.Optional;

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

	private final CrashDetector watch = new CrashDetector();

	private static Replica replica(String id) {
		return replica(id, 1);
	}

	private static Replica replica(String id, long born) {
		return new Replica(new ReplicaId(id), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", "v1", 8,
				false, born);
	}

	private Optional<Crash> ended(long now, long startedAt, EndKind manner, Trait trait) {
		return this.watch.onAttemptEnd(now, replica("r1"), startedAt, manner, List.of(trait));
	}

	private Optional<Crash> down(long now) {
		return this.watch.onDead(now, new ReplicaId("r1"));
	}

	@Test
	void replicaThatIsFoundDeadCrashedUnderWhatBrokeOff() {
		ended(700, 100, EndKind.BROKEN, DEADLY);
		ended(710, 600, EndKind.BROKEN, OTHER);
		Crash crash = down(760).orElseThrow();
		assertThat(crash.at()).isEqualTo(710);
		assertThat(crash.traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		assertThat(crash.lastRequestAt(DEADLY)).isEqualTo(110);
	}

	/**
	 * Guards against crashes of replicas that are about to stop, which are not counted.
	 */
	@Test
	void endSoonAfterItWasHeardThatAReplicaLeavesIsACrash() {
		this.watch.onLeaving(0, new ReplicaId("r1"));
		ended(700, 100, EndKind.BROKEN, DEADLY);
		assertThat(down(760)).isPresent();
	}

	/** Guards against requests blamed for the planned ends of their replicas. */
	@Test
	void laterEndOfAReplicaThatLeavesIsNoCrash() {
		this.watch.onLeaving(0, new ReplicaId("r1"));
		ended(1700, 100, EndKind.BROKEN, DEADLY);
		assertThat(down(1760)).isEmpty();
		this.watch.onListed(2000, replica("r1", 2));
		this.watch.onAttemptEnd(4000, replica("r1", 2), 3900, EndKind.BROKEN, List.of(DEADLY));
		assertThat(down(4060)).isPresent();
	}

	/** Guards against answers without a length that are never asked after. */
	@Test
	void contentWhoseAnswersEndWithTheirConnectionsAgainIsNoticed() {
		assertThat(this.watch.isRepeatedCloseDelimited(OTHER)).isFalse();
		assertThat(this.watch.isRepeatedCloseDelimited(DEADLY)).isFalse();
		assertThat(this.watch.isRepeatedCloseDelimited(DEADLY)).isTrue();
	}

	@Test
	void brokenConnectionAloneIsNoCrash() {
		ended(0, 0, EndKind.BROKEN, OTHER);
		assertThat(down(7000)).isEmpty();
	}

	/**
	 * Guards against a crash that is not noticed as the replica starts again under its id
	 * before its entry lapses.
	 */
	@Test
	void anotherProcessUnderTheSameIdTellsOfACrash() {
		ended(0, 0, EndKind.BROKEN, DEADLY);
		assertThat(this.watch.onListed(100, replica("r1"))).isEmpty();
		assertThat(this.watch.onListed(2000, replica("r1", 2))).isPresent();
	}

	/** Guards against a request that is cleared as its engine dies within its answer. */
	@Test
	void answerWithoutALengthThatEndsAsItsReplicaDiesIsPartOfTheCrash() {
		ended(500, 400, EndKind.CLOSE_DELIMITED, DEADLY);
		assertThat(down(600).orElseThrow().traits()).containsExactly(DEADLY);
	}

	@Test
	void answerWithoutALengthIsWholeIfItsReplicaAnswersALaterRequest() {
		ended(500, 400, EndKind.CLOSE_DELIMITED, OTHER);
		assertThat(this.watch.onAnswer(replica("r1"), 450)).isEmpty();
		assertThat(this.watch.onAnswer(replica("r1"), 501)).containsExactly(OTHER);
		assertThat(down(600)).isEmpty();
	}

	@Test
	void replicaThatAcceptsAConnectionMayHaveBrokenOffOthers() {
		ended(500, 400, EndKind.CLOSE_DELIMITED, OTHER);
		ended(500, 400, EndKind.BROKEN, DEADLY);
		assertThat(this.watch.onConnectionAccepted(replica("r1"), 550)).containsExactly(OTHER);
		assertThat(down(900).orElseThrow().traits()).containsExactly(DEADLY);
	}

	/** Guards against sound requests blamed for a replica that is taken away later. */
	@Test
	void answerWithoutALengthIsNoPartOfAnEndThatComesLater() {
		ended(500, 400, EndKind.CLOSE_DELIMITED, OTHER);
		assertThat(down(3000)).isEmpty();
	}

	/** Guards against evidence that is lost as a caller leaves while a replica dies. */
	@Test
	void whatIsGivenUpWhileAReplicaDiesIsPartOfTheCrash() {
		ended(100, 0, EndKind.CANCELLED, DEADLY);
		assertThat(down(200)).isEmpty();
		ended(300, 0, EndKind.CANCELLED, DEADLY);
		ended(400, 0, EndKind.BROKEN, OTHER);
		assertThat(down(450).orElseThrow().traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
	}

	@Test
	void whatBreaksOffAfterTheReplicaWasFoundDeadIsPartOfTheSameCrash() {
		ended(100, 0, EndKind.BROKEN, OTHER);
		Crash crash = down(150).orElseThrow();
		Crash more = ended(160, 50, EndKind.BROKEN, DEADLY).orElseThrow();
		assertThat(more.processName()).isEqualTo(crash.processName());
		assertThat(crash.merge(more).traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		assertThat(ended(5000, 4900, EndKind.BROKEN, DEADLY)).isEmpty();
	}

	@Nested
	class LeavesOut {

		@Test
		void whatBrokeOffBeforeTheReplicaAnsweredAnother() {
			ended(100, 0, EndKind.BROKEN, OTHER);
			CrashDetectorTests.this.watch.onAnswer(replica("r1"), 200);
			assertThat(down(300)).isEmpty();
		}

		@Test
		void whatBrokeOffLongBeforeTheRest() {
			ended(100, 0, EndKind.BROKEN, OTHER);
			ended(2000, 1900, EndKind.BROKEN, DEADLY);
			assertThat(down(2100).orElseThrow().traits()).containsExactly(DEADLY);
		}

	}

}
