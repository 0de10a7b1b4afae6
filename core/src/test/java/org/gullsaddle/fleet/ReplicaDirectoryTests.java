package org.gullsaddle.fleet;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;

import static org.assertj.core.api.Assertions.assertThat;

class ReplicaDirectoryTests {

	private static final ServiceName DESK = new ServiceName("desk");

	private final ReplicaDirectory directory = new ReplicaDirectory();

	private static Replica replica(String id, boolean draining) {
		return new Replica(new ReplicaId(id), DESK, new Address("10.0.0.1", 80), "a", "v1", 8, draining, 1);
	}

	private List<String> usable(long now) {
		return this.directory.usable(now, DESK).stream().map((replica) -> replica.id().value()).toList();
	}

	@Test
	void drainingReplicaGetsNoNewWork() {
		this.directory.put(replica("one", false));
		this.directory.put(replica("two", false));
		this.directory.put(replica("one", true));
		assertThat(usable(0)).containsExactly("two");
	}

	/**
	 * A replica leaves without notice: its entry is removed, with no outage before. It
	 * was used for ever after, as the start of time counted as the end of an outage.
	 */
	@Test
	void removedReplicaIsGoneAtOnceWhenThereWasNoOutage() {
		this.directory.put(replica("one", false));
		this.directory.remove(10_000, new ReplicaId("one"));
		assertThat(usable(10_000)).isEmpty();
	}

	@Test
	void replicaMissingFromAWholeReadingIsGone() {
		this.directory.put(replica("one", false));
		this.directory.put(replica("two", false));
		this.directory.retain(5, Set.of(new ReplicaId("two")));
		assertThat(usable(5)).containsExactly("two");
	}

	@Nested
	class AroundAnOutageOfTheStore {

		/**
		 * The store is away, leases of replicas that live run out, and at its return the
		 * registry is empty. Callers were refused until the replicas wrote again.
		 */
		@Test
		void lapsedReplicaIsUsedUntilItHadTimeToWriteAgain() {
			ReplicaDirectoryTests.this.directory.put(replica("one", false));
			ReplicaDirectoryTests.this.directory.storeAway(1000, true);
			ReplicaDirectoryTests.this.directory.storeAway(9000, false);
			ReplicaDirectoryTests.this.directory.remove(9100, new ReplicaId("one"));
			assertThat(usable(9000 + ReplicaDirectory.LAPSED_MILLIS)).containsExactly("one");
			assertThat(usable(9001 + ReplicaDirectory.LAPSED_MILLIS)).isEmpty();
		}

		@Test
		void replicaThatWasDrainingIsNotKept() {
			ReplicaDirectoryTests.this.directory.put(replica("one", true));
			ReplicaDirectoryTests.this.directory.storeAway(1000, true);
			ReplicaDirectoryTests.this.directory.remove(1100, new ReplicaId("one"));
			assertThat(usable(1100)).isEmpty();
		}

		@Test
		void removalLongAfterTheOutageIsTakenAtItsWord() {
			ReplicaDirectoryTests.this.directory.put(replica("one", false));
			ReplicaDirectoryTests.this.directory.storeAway(1000, true);
			ReplicaDirectoryTests.this.directory.storeAway(2000, false);
			ReplicaDirectoryTests.this.directory.remove(2001 + ReplicaDirectory.LAPSED_MILLIS, new ReplicaId("one"));
			assertThat(usable(2001 + ReplicaDirectory.LAPSED_MILLIS)).isEmpty();
		}

	}

}
