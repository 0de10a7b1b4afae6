package org.gullsaddle.fleet;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
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
		return this.directory.usableReplicas(now, DESK, (dataCenter) -> true)
			.stream()
			.map((replica) -> replica.id().value())
			.toList();
	}

	@Test
	void drainingReplicaGetsNoNewWork() {
		this.directory.onListed(replica("one", false));
		this.directory.onListed(replica("two", false));
		this.directory.onListed(replica("one", true));
		assertThat(usable(0)).containsExactly("two");
	}

	/**
	 * A replica leaves without notice: its entry is removed, with no outage before. It
	 * was used for ever after, as the start of time counted as the end of an outage.
	 */
	@Test
	void removedReplicaIsGoneAtOnceWhenThereWasNoOutage() {
		this.directory.onListed(replica("one", false));
		this.directory.onUnlisted(10_000, new ReplicaId("one"));
		assertThat(usable(10_000)).isEmpty();
	}

	@Test
	void replicaMissingFromAWholeReadingIsGone() {
		this.directory.onListed(replica("one", false));
		this.directory.onListed(replica("two", false));
		this.directory.onRegistryRead(5, Set.of(new ReplicaId("two")));
		assertThat(usable(5)).containsExactly("two");
	}

	@Nested
	class WhereAReplicaSaysThatItLeaves {

		private final ReplicaId id = new ReplicaId("one");

		@BeforeEach
		void tell() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			ReplicaDirectoryTests.this.directory.onLeaving(0, replica("one", false));
		}

		@Test
		void itGetsNoNewWorkThoughItsEntrySaysOtherwise() {
			assertThat(usable(0)).isEmpty();
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			assertThat(usable(1)).isEmpty();
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(1, replica("one", false))).isFalse();
		}

		/** Guards against an entry that lapses in an outage and brings it back. */
		@Test
		void itIsRememberedWhileItsEntryIsAway() {
			ReplicaDirectoryTests.this.directory.onUnlisted(1000, this.id);
			ReplicaDirectoryTests.this.directory.onLeaving(2000, replica("two", false));
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			assertThat(usable(3000)).isEmpty();
		}

		@Test
		void anotherProcessUnderItsIdIsUsed() {
			ReplicaDirectoryTests.this.directory
				.onListed(new Replica(this.id, DESK, new Address("10.0.0.1", 80), "a", "v1", 8, false, 2));
			assertThat(usable(0)).containsExactly("one");
		}

		@Test
		void itIsToldOnce() {
			assertThat(ReplicaDirectoryTests.this.directory.onLeaving(5, replica("one", false))).isFalse();
		}

	}

	@Nested
	class AroundAnOutageOfTheStore {

		/**
		 * The store is away, leases of replicas that live run out, and at its return the
		 * registry is empty. Callers were refused until the replicas wrote again.
		 */
		@Test
		void lapsedReplicaIsUsedUntilItHadTimeToWriteAgain() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			ReplicaDirectoryTests.this.directory.storeUnreachable(1000, true);
			ReplicaDirectoryTests.this.directory.storeUnreachable(9000, false);
			ReplicaDirectoryTests.this.directory.onUnlisted(9100, new ReplicaId("one"));
			assertThat(usable(9000 + ReplicaDirectory.LAPSED_RETENTION_MILLIS)).containsExactly("one");
			assertThat(usable(9001 + ReplicaDirectory.LAPSED_RETENTION_MILLIS)).isEmpty();
		}

		@Test
		void replicaThatWasDrainingIsNotKept() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", true));
			ReplicaDirectoryTests.this.directory.storeUnreachable(1000, true);
			ReplicaDirectoryTests.this.directory.onUnlisted(1100, new ReplicaId("one"));
			assertThat(usable(1100)).isEmpty();
		}

		@Test
		void removalLongAfterTheOutageIsTakenAtItsWord() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			ReplicaDirectoryTests.this.directory.storeUnreachable(1000, true);
			ReplicaDirectoryTests.this.directory.storeUnreachable(2000, false);
			ReplicaDirectoryTests.this.directory.onUnlisted(2001 + ReplicaDirectory.LAPSED_RETENTION_MILLIS,
					new ReplicaId("one"));
			assertThat(usable(2001 + ReplicaDirectory.LAPSED_RETENTION_MILLIS)).isEmpty();
		}

	}

	@Nested
	class ColdReplicas {

		private final Replica one = replica("one", false);

		private long cold(long now) {
			return ReplicaDirectoryTests.this.directory.coldMillis(now, this.one.id());
		}

		private void told(long now, long millis) {
			ReplicaDirectoryTests.this.directory.onListed(this.one);
			ReplicaDirectoryTests.this.directory.onColdReport(now, this.one, millis);
		}

		@Test
		void areColdAsLongAsTheySay() {
			told(1000, 3000);
			assertThat(cold(1000)).isEqualTo(3000);
			assertThat(cold(3999)).isEqualTo(1);
			assertThat(cold(4000)).isZero();
		}

		@Test
		void areWarmAgainWhenTheySaySo() {
			told(1000, 3000);
			told(2000, 0);
			assertThat(cold(2000)).isZero();
		}

		/** Guards against replicas that stay cold as their old entry is read again. */
		@Test
		void entryThatIsReadAgainSaysNothingNew() {
			told(1000, 3000);
			told(3500, 3000);
			assertThat(cold(4000)).isZero();
		}

		@Test
		void areColdAnewAfterAnotherStart() {
			told(1000, 3000);
			Replica again = new Replica(this.one.id(), DESK, this.one.address(), "a", "v1", 8, false, 2);
			ReplicaDirectoryTests.this.directory.onListed(again);
			ReplicaDirectoryTests.this.directory.onColdReport(5000, again, 3000);
			assertThat(cold(5000)).isEqualTo(3000);
		}

		/** Guards against a replica that is out for a day by one absurd entry. */
		@Test
		void absurdTimesAreBounded() {
			told(0, Long.MAX_VALUE);
			assertThat(cold(0)).isEqualTo(ReplicaDirectory.MAX_COLD_MILLIS);
			told(0, -5);
			assertThat(cold(0)).isZero();
		}

	}

	@Nested
	class Evacuations {

		private final Replica one = replica("one", false);

		@BeforeEach
		void listOne() {
			ReplicaDirectoryTests.this.directory.onListed(this.one);
		}

		@Test
		void replicasGetNothingNewUntilTheyAreTakenBack() {
			ReplicaDirectoryTests.this.directory.evacuate("a");
			assertThat(usable(0)).isEmpty();
			ReplicaDirectoryTests.this.directory.endEvacuation("a");
			assertThat(usable(0)).containsExactly("one");
		}

		@Test
		void otherDataCentersGoOn() {
			ReplicaDirectoryTests.this.directory.evacuate("b");
			assertThat(usable(0)).containsExactly("one");
		}

		/**
		 * Guards against requests that are sent late over a connection asked for early.
		 */
		@Test
		void replicaThatWasChosenBeforeIsNotSentTheRequest() {
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(0, this.one)).isTrue();
			ReplicaDirectoryTests.this.directory.evacuate("a");
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(0, this.one)).isFalse();
		}

		@Test
		void replicaThatStartedAnewIsNotTheOneThatWasChosen() {
			ReplicaDirectoryTests.this.directory
				.onListed(new Replica(this.one.id(), DESK, this.one.address(), "a", "v1", 8, false, 2));
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(0, this.one)).isFalse();
		}

	}

}
