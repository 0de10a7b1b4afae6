package org.gullsaddle.serve;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class CrashWatchTests {

	private static final Fingerprint POISON = new Fingerprint("poison");

	private static final Fingerprint BYSTANDER = new Fingerprint("bystander");

	private final CrashWatch watch = new CrashWatch();

	private static Replica replica(String id) {
		return new Replica(new ReplicaId(id), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", "v1", 8,
				false, 1);
	}

	private void crash(long now, String id, Fingerprint... contents) {
		for (Fingerprint content : contents) {
			this.watch.broke(now, replica(id), content);
		}
		this.watch.down(now + 100, new ReplicaId(id));
	}

	/**
	 * A request crashes each replica that runs it, and its caller sends it again and
	 * again. After three replicas it is refused, until the crashes are long past.
	 */
	@Test
	void contentThatCrashedThreeReplicasIsRefusedForAWhile() {
		crash(0, "r1", POISON);
		crash(1000, "r2", POISON);
		assertThat(this.watch.refusedFor(2000, POISON)).isZero();
		crash(2000, "r3", POISON);
		assertThat(this.watch.refusedFor(3000, POISON)).isEqualTo(27_000);
		assertThat(this.watch.refusedFor(40_000, POISON)).isZero();
	}

	/**
	 * Each copy of the request came to another node. Every node saw one crash only, and
	 * let the next copy through.
	 */
	@Test
	void crashesThatOtherNodesSawCount() {
		crash(5000, "r1", POISON);
		for (String id : new String[] { "r2", "r3" }) {
			CrashWatch other = new CrashWatch();
			other.broke(100, replica(id), POISON);
			assertThat(other.down(200, new ReplicaId(id))).containsExactly(POISON);
			this.watch.learn(6000, other.note(1000));
		}
		assertThat(this.watch.refusedFor(6000, POISON)).isPositive();
	}

	@Test
	void sameCrashHeardOfTwiceCountsOnce() {
		crash(0, "r1", POISON);
		crash(100, "r2", POISON);
		CrashNote note = this.watch.note(200);
		this.watch.learn(300, note);
		this.watch.learn(400, note);
		assertThat(this.watch.refusedFor(500, POISON)).isZero();
	}

	/**
	 * A replica crashes and starts again under its id before its entry lapses.
	 */
	@Test
	void anotherProcessUnderTheSameIdTellsOfACrash() {
		this.watch.broke(0, replica("r1"), POISON);
		assertThat(this.watch.listed(100, replica("r1"))).isEmpty();
		Replica again = new Replica(new ReplicaId("r1"), new ServiceName("engines"), new Address("10.0.0.1", 80), "a",
				"v1", 8, false, 2);
		assertThat(this.watch.listed(2000, again)).containsExactly(POISON);
	}

	@Nested
	class ClearsBystanders {

		/**
		 * A rack fails, and a read that was in progress on each of its replicas is
		 * answered elsewhere. It had nothing to do with the crashes.
		 */
		@Test
		void thatAreAnsweredWhole() {
			crash(0, "r1", POISON, BYSTANDER);
			crash(10, "r2", POISON, BYSTANDER);
			CrashWatchTests.this.watch.answered(BYSTANDER);
			crash(1000, "r3", POISON, BYSTANDER);
			assertThat(CrashWatchTests.this.watch.refusedFor(2000, BYSTANDER)).isZero();
			assertThat(CrashWatchTests.this.watch.refusedFor(2000, POISON)).isPositive();
		}

		@Test
		void whoseReplicaLives() {
			for (String id : new String[] { "r1", "r2", "r3" }) {
				CrashWatchTests.this.watch.broke(0, replica(id), BYSTANDER);
			}
			assertThat(CrashWatchTests.this.watch.refusedFor(1000, BYSTANDER)).isZero();
		}

		@Test
		void whoseReplicaDiedMuchLater() {
			CrashWatchTests.this.watch.broke(0, replica("r1"), BYSTANDER);
			assertThat(CrashWatchTests.this.watch.down(7000, new ReplicaId("r1"))).isEmpty();
		}

	}

}
