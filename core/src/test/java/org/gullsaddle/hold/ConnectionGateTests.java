package org.gullsaddle.hold;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionGateTests {

	private static final long LOOK_MILLIS = 50;

	private static final long BEHIND = 600;

	private final ConnectionGate gate = new ConnectionGate();

	private final Random random = new Random(1);

	private long now;

	/**
	 * Offers connections for a time.
	 * @return the share that was taken
	 */
	private double offer(int seconds, int perLook, long late) {
		int taken = 0;
		int offered = 0;
		for (long end = this.now + 1000L * seconds; this.now < end; this.now += LOOK_MILLIS) {
			for (int i = 0; i < perLook; i++) {
				offered++;
				taken += this.gate.takes(this.now, this.random.nextDouble()) ? 1 : 0;
			}
			this.gate.look(this.now, late);
		}
		return (double) taken / offered;
	}

	/** Guards against a node that reads more requests than it can answer in time. */
	@Test
	void nodeThatIsBehindInASurgeTurnsMostAwayAndNeverAll() {
		offer(10, 1, 0);
		offer(2, 8, BEHIND);
		assertThat(offer(3, 8, BEHIND)).isBetween(0.1, 0.3);
	}

	@Test
	void nodeThatKeepsUpTakesAll() {
		offer(10, 1, 0);
		assertThat(offer(5, 8, 100)).isEqualTo(1);
	}

	/** Guards against callers turned away where other nodes are no better off. */
	@Test
	void nodeThatIsBehindWithoutASurgeTakesAll() {
		offer(10, 2, 0);
		assertThat(offer(5, 3, BEHIND)).isEqualTo(1);
	}

	/** Guards against nodes that turn callers away as all start at once. */
	@Test
	void nodeThatHasJustStartedTakesAll() {
		assertThat(offer(4, 8, BEHIND)).isEqualTo(1);
	}

	@Test
	void allAreTakenAgainSoonAfterTheSurge() {
		offer(10, 1, 0);
		offer(8, 8, BEHIND);
		offer(2, 1, 0);
		assertThat(offer(2, 1, 0)).isEqualTo(1);
	}

	/** Guards against a long surge that becomes what is usual. */
	@Test
	void surgeStaysASurgeForLong() {
		offer(10, 1, 0);
		offer(20, 8, BEHIND);
		assertThat(offer(3, 8, BEHIND)).isLessThan(0.3);
	}

}
