package org.gullsaddle.serve;

import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.ReplicaId;

import static org.assertj.core.api.Assertions.assertThat;

class SilencePatienceTests {

	private static final ReplicaId ENGINE = new ReplicaId("engine");

	private static final long PATIENCE = 2000;

	/** Long enough before the end of a patience that nothing is asked yet. */
	private static final long EARLY = 1500;

	private static final EngineReport QUEUE = new EngineReport(64, 20, 30);

	private static final EngineReport NO_QUEUE = new EngineReport(8, 0, 0);

	private final SilencePatience patience = new SilencePatience();

	private SilencePatience.Advice at(long now) {
		return this.patience.look(now, ENGINE, 0, PATIENCE);
	}

	@Test
	void nothingIsAskedWithinARequestsPatience() {
		assertThat(at(EARLY)).isEqualTo(SilencePatience.Advice.WAIT);
		assertThat(at(PATIENCE)).isEqualTo(SilencePatience.Advice.ASK);
	}

	/** Guards against a question for each of the requests that wait at one engine. */
	@Test
	void oneQuestionServesAllRequestsAtAReplica() {
		this.patience.asked(ENGINE);
		assertThat(at(PATIENCE)).isEqualTo(SilencePatience.Advice.WAIT);
		assertThat(at(2 * PATIENCE)).isEqualTo(SilencePatience.Advice.WAIT);
	}

	/** Guards against a request that waits for ever as its replica has lost it. */
	@Test
	void replicaWithoutAQueueIsLeftThoughItIsAlive() {
		this.patience.told(PATIENCE, ENGINE, NO_QUEUE);
		assertThat(at(PATIENCE + 1)).isEqualTo(SilencePatience.Advice.LEAVE);
	}

	@Test
	void onlyAReplicaThatBeginsClearlySoonerIsWorthThePlaceInTheQueue() {
		DelayEstimate here = new DelayEstimate(2000, 500);
		assertThat(SilencePatience.sooner(here, new DelayEstimate(900, 200))).isFalse();
		assertThat(SilencePatience.sooner(here, new DelayEstimate(700, 200))).isTrue();
	}

	@Nested
	class OfAReplicaWithAQueue {

		@BeforeEach
		void told() {
			SilencePatienceTests.this.patience.told(PATIENCE, ENGINE, QUEUE);
		}

		/** Guards against requests that lose their places in a queue as it is silent. */
		@Test
		void keepsTheRequest() {
			assertThat(at(PATIENCE + 1)).isEqualTo(SilencePatience.Advice.STAY);
			assertThat(at(PATIENCE + EARLY)).isEqualTo(SilencePatience.Advice.STAY);
		}

		@Test
		void isAskedAgainAPatienceLater() {
			assertThat(at(2 * PATIENCE)).isEqualTo(SilencePatience.Advice.ASK);
		}

		@Test
		void isAskedAtMostOnceASecondHoweverShortThePatience() {
			long now = PATIENCE;
			assertThat(SilencePatienceTests.this.patience.look(now + 999, ENGINE, now, 100))
				.isEqualTo(SilencePatience.Advice.STAY);
			assertThat(SilencePatienceTests.this.patience.look(now + 1000, ENGINE, now, 100))
				.isEqualTo(SilencePatience.Advice.ASK);
		}

		@Test
		void isForgottenWhenItIsGone() {
			SilencePatienceTests.this.patience.retain(Set.of());
			assertThat(at(PATIENCE)).isEqualTo(SilencePatience.Advice.ASK);
		}

	}

	@Nested
	class OfAReplicaThatIsDark {

		/** Guards against requests that wait longer for dark replicas than for others. */
		@Test
		void isLeftAsSoonAsThePatienceIsOver() {
			assertThat(at(PATIENCE - 150)).isEqualTo(SilencePatience.Advice.ASK);
			SilencePatienceTests.this.patience.asked(ENGINE);
			SilencePatienceTests.this.patience.notTold(PATIENCE - 20, ENGINE);
			assertThat(at(PATIENCE - 10)).isEqualTo(SilencePatience.Advice.WAIT);
			assertThat(at(PATIENCE + 1)).isEqualTo(SilencePatience.Advice.LEAVE);
		}

		@Test
		void isAskedAgainOnceItHasBeenHeard() {
			SilencePatienceTests.this.patience.notTold(0, ENGINE);
			assertThat(SilencePatienceTests.this.patience.look(900, ENGINE, 50, 800))
				.isEqualTo(SilencePatience.Advice.WAIT);
			assertThat(SilencePatienceTests.this.patience.look(1000, ENGINE, 50, 800))
				.isEqualTo(SilencePatience.Advice.ASK);
		}

	}

}
