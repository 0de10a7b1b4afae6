package org.gullsaddle.suspect;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.suspect.CrashWatch.Manner;

import static org.assertj.core.api.Assertions.assertThat;

class CrashWatchTests {

	private static final Trait DEADLY = Trait.part("deadly");

	private static final Trait OTHER = Trait.part("other");

	private final CrashWatch watch = new CrashWatch();

	private static Replica replica(String id) {
		return replica(id, 1);
	}

	private static Replica replica(String id, long born) {
		return new Replica(new ReplicaId(id), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", "v1", 8,
				false, born);
	}

	private Optional<Crash> ended(long now, long startedAt, Manner manner, Trait trait) {
		return this.watch.ended(now, replica("r1"), startedAt, manner, List.of(trait));
	}

	private Optional<Crash> down(long now) {
		return this.watch.down(now, new ReplicaId("r1"));
	}

	@Test
	void replicaThatIsFoundDeadCrashedUnderWhatBrokeOff() {
		ended(700, 100, Manner.BROKEN, DEADLY);
		ended(710, 600, Manner.BROKEN, OTHER);
		Crash crash = down(760).orElseThrow();
		assertThat(crash.at()).isEqualTo(710);
		assertThat(crash.traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		assertThat(crash.startedAt(DEADLY)).isEqualTo(110);
	}

	/**
	 * Guards against crashes of replicas that are about to stop, which are not counted.
	 */
	@Test
	void endSoonAfterItWasHeardThatAReplicaLeavesIsACrash() {
		this.watch.leaves(0, new ReplicaId("r1"));
		ended(700, 100, Manner.BROKEN, DEADLY);
		assertThat(down(760)).isPresent();
	}

	/** Guards against requests blamed for the planned ends of their replicas. */
	@Test
	void laterEndOfAReplicaThatLeavesIsNoCrash() {
		this.watch.leaves(0, new ReplicaId("r1"));
		ended(1700, 100, Manner.BROKEN, DEADLY);
		assertThat(down(1760)).isEmpty();
		this.watch.listed(2000, replica("r1", 2));
		this.watch.ended(4000, replica("r1", 2), 3900, Manner.BROKEN, List.of(DEADLY));
		assertThat(down(4060)).isPresent();
	}

	/** Guards against answers without a length that are never asked after. */
	@Test
	void contentWhoseAnswersEndWithTheirConnectionsAgainIsNoticed() {
		assertThat(this.watch.closedAgain(OTHER)).isFalse();
		assertThat(this.watch.closedAgain(DEADLY)).isFalse();
		assertThat(this.watch.closedAgain(DEADLY)).isTrue();
	}

	@Test
	void brokenConnectionAloneIsNoCrash() {
		ended(0, 0, Manner.BROKEN, OTHER);
		assertThat(down(7000)).isEmpty();
	}

	/**
	 * Guards against a crash that is not noticed as the replica starts again under its id
	 * before its entry lapses.
	 */
	@Test
	void anotherProcessUnderTheSameIdTellsOfACrash() {
		ended(0, 0, Manner.BROKEN, DEADLY);
		assertThat(this.watch.listed(100, replica("r1"))).isEmpty();
		assertThat(this.watch.listed(2000, replica("r1", 2))).isPresent();
	}

	/** Guards against a request that is cleared as its engine dies within its answer. */
	@Test
	void answerWithoutALengthThatEndsAsItsReplicaDiesIsPartOfTheCrash() {
		ended(500, 400, Manner.CLOSED, DEADLY);
		assertThat(down(600).orElseThrow().traits()).containsExactly(DEADLY);
	}

	@Test
	void answerWithoutALengthIsWholeIfItsReplicaAnswersALaterRequest() {
		ended(500, 400, Manner.CLOSED, OTHER);
		assertThat(this.watch.answered(replica("r1"), 450)).isEmpty();
		assertThat(this.watch.answered(replica("r1"), 501)).containsExactly(OTHER);
		assertThat(down(600)).isEmpty();
	}

	@Test
	void replicaThatAcceptsAConnectionMayHaveBrokenOffOthers() {
		ended(500, 400, Manner.CLOSED, OTHER);
		ended(500, 400, Manner.BROKEN, DEADLY);
		assertThat(this.watch.accepts(replica("r1"), 550)).containsExactly(OTHER);
		assertThat(down(900).orElseThrow().traits()).containsExactly(DEADLY);
	}

	/** Guards against sound requests blamed for a replica that is taken away later. */
	@Test
	void answerWithoutALengthIsNoPartOfAnEndThatComesLater() {
		ended(500, 400, Manner.CLOSED, OTHER);
		assertThat(down(3000)).isEmpty();
	}

	/** Guards against evidence that is lost as a caller leaves while a replica dies. */
	@Test
	void whatIsGivenUpWhileAReplicaDiesIsPartOfTheCrash() {
		ended(100, 0, Manner.GIVEN_UP, DEADLY);
		assertThat(down(200)).isEmpty();
		ended(300, 0, Manner.GIVEN_UP, DEADLY);
		ended(400, 0, Manner.BROKEN, OTHER);
		assertThat(down(450).orElseThrow().traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
	}

	@Test
	void whatBreaksOffAfterTheReplicaWasFoundDeadIsPartOfTheSameCrash() {
		ended(100, 0, Manner.BROKEN, OTHER);
		Crash crash = down(150).orElseThrow();
		Crash more = ended(160, 50, Manner.BROKEN, DEADLY).orElseThrow();
		assertThat(more.process()).isEqualTo(crash.process());
		assertThat(crash.and(more).traits()).containsExactlyInAnyOrder(DEADLY, OTHER);
		assertThat(ended(5000, 4900, Manner.BROKEN, DEADLY)).isEmpty();
	}

	@Nested
	class LeavesOut {

		@Test
		void whatBrokeOffBeforeTheReplicaAnsweredAnother() {
			ended(100, 0, Manner.BROKEN, OTHER);
			CrashWatchTests.this.watch.answered(replica("r1"), 200);
			assertThat(down(300)).isEmpty();
		}

		@Test
		void whatBrokeOffLongBeforeTheRest() {
			ended(100, 0, Manner.BROKEN, OTHER);
			ended(2000, 1900, Manner.BROKEN, DEADLY);
			assertThat(down(2100).orElseThrow().traits()).containsExactly(DEADLY);
		}

	}

}
