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
	 * Guards against using a replica forever after its entry was removed without a
	 * preceding outage, because the initial time counted as the end of an outage.
	 */
	@Test
	void removedReplicaIsGoneAtOnceWhenThereWasNoOutage() {
		this.directory.onListed(replica("one", false));
		this.directory.onUnlisted(10_000, new ReplicaId("one"));
		assertThat(usable(10_000)).isEmpty();
	}

	@Test
	void replicaMissingFromTheRegistryIsGone() {
		this.directory.onListed(replica("one", false));
		this.directory.onListed(replica("two", false));
		this.directory.onRegistryRead(5, Set.of(new ReplicaId("two")));
		assertThat(usable(5)).containsExactly("two");
	}

	@Nested
	class WithALeavingReplica {

		private final ReplicaId id = new ReplicaId("one");

		@BeforeEach
		void listAndLeave() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			ReplicaDirectoryTests.this.directory.onLeaving(0, replica("one", false));
		}

		@Test
		void getsNoNewWorkWhateverItsEntrySays() {
			assertThat(usable(0)).isEmpty();
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			assertThat(usable(1)).isEmpty();
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(1, replica("one", false))).isFalse();
		}

		/**
		 * Guards against an entry that lapses in an outage and makes the replica usable
		 * again.
		 */
		@Test
		void isRememberedWhileItsEntryIsMissing() {
			ReplicaDirectoryTests.this.directory.onUnlisted(1000, this.id);
			ReplicaDirectoryTests.this.directory.onLeaving(2000, replica("two", false));
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			assertThat(usable(3000)).isEmpty();
		}

		@Test
		void newProcessUnderItsIdIsUsed() {
			ReplicaDirectoryTests.this.directory
				.onListed(new Replica(this.id, DESK, new Address("10.0.0.1", 80), "a", "v1", 8, false, 2));
			assertThat(usable(0)).containsExactly("one");
		}

		@Test
		void isReportedAsNewOnce() {
			assertThat(ReplicaDirectoryTests.this.directory.onLeaving(5, replica("one", false))).isFalse();
		}

	}

	@Nested
	class AroundAnOutageOfTheStore {

		/**
		 * Guards against refusing callers after an outage of the store, when leases of
		 * healthy replicas have expired and the registry is empty until the replicas
		 * renew their entries.
		 */
		@Test
		void lapsedReplicaIsUsedUntilItHadTimeToRenewItsEntry() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			ReplicaDirectoryTests.this.directory.storeUnreachable(1000, true);
			ReplicaDirectoryTests.this.directory.storeUnreachable(9000, false);
			ReplicaDirectoryTests.this.directory.onUnlisted(9100, new ReplicaId("one"));
			assertThat(usable(9000 + ReplicaDirectory.LAPSED_RETENTION_MILLIS)).containsExactly("one");
			assertThat(usable(9001 + ReplicaDirectory.LAPSED_RETENTION_MILLIS)).isEmpty();
		}

		/**
		 * Guards against keeping a replica that drains as one whose entry has lapsed, as
		 * its entry became unreadable.
		 */
		@Test
		void replicaWhoseEntryBecameUnreadableIsNotKept() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", false));
			ReplicaDirectoryTests.this.directory.onListed(replica("two", false));
			ReplicaDirectoryTests.this.directory.storeUnreachable(1000, true);
			ReplicaDirectoryTests.this.directory.storeUnreachable(9000, false);
			ReplicaDirectoryTests.this.directory.onRegistryRead(9000, Set.of(new ReplicaId("two")));
			ReplicaDirectoryTests.this.directory.onUnusable(new ReplicaId("one"));
			assertThat(usable(9000)).containsExactly("two");
		}

		@Test
		void replicaThatWasDrainingIsNotKept() {
			ReplicaDirectoryTests.this.directory.onListed(replica("one", true));
			ReplicaDirectoryTests.this.directory.storeUnreachable(1000, true);
			ReplicaDirectoryTests.this.directory.onUnlisted(1100, new ReplicaId("one"));
			assertThat(usable(1100)).isEmpty();
		}

		@Test
		void removalLongAfterTheOutageTakesEffectAtOnce() {
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

		private long coldMillis(long now) {
			return ReplicaDirectoryTests.this.directory.coldMillis(now, this.one.id());
		}

		private void reportCold(long now, long millis) {
			ReplicaDirectoryTests.this.directory.onListed(this.one);
			ReplicaDirectoryTests.this.directory.onColdReport(now, this.one, millis);
		}

		@Test
		void areColdAsLongAsReported() {
			reportCold(1000, 3000);
			assertThat(coldMillis(1000)).isEqualTo(3000);
			assertThat(coldMillis(3999)).isEqualTo(1);
			assertThat(coldMillis(4000)).isZero();
		}

		@Test
		void areWarmOnceReportedWarm() {
			reportCold(1000, 3000);
			reportCold(2000, 0);
			assertThat(coldMillis(2000)).isZero();
		}

		/**
		 * Guards against replicas that stay cold because their old entry is read again.
		 */
		@Test
		void entryReadAgainDoesNotExtendTheColdTime() {
			reportCold(1000, 3000);
			reportCold(3500, 3000);
			assertThat(coldMillis(4000)).isZero();
		}

		@Test
		void areColdAgainAfterARestart() {
			reportCold(1000, 3000);
			Replica again = new Replica(this.one.id(), DESK, this.one.address(), "a", "v1", 8, false, 2);
			ReplicaDirectoryTests.this.directory.onListed(again);
			ReplicaDirectoryTests.this.directory.onColdReport(5000, again, 3000);
			assertThat(coldMillis(5000)).isEqualTo(3000);
		}

		/**
		 * Guards against a replica that is unused for a day because of one excessive
		 * entry.
		 */
		@Test
		void excessiveTimesAreBounded() {
			reportCold(0, Long.MAX_VALUE);
			assertThat(coldMillis(0)).isEqualTo(ReplicaDirectory.MAX_COLD_MILLIS);
			reportCold(0, -5);
			assertThat(coldMillis(0)).isZero();
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
		void replicasGetNoNewWorkUntilTheEvacuationEnds() {
			ReplicaDirectoryTests.this.directory.evacuate("a");
			assertThat(usable(0)).isEmpty();
			ReplicaDirectoryTests.this.directory.endEvacuation("a");
			assertThat(usable(0)).containsExactly("one");
		}

		@Test
		void otherDataCentersAreNotAffected() {
			ReplicaDirectoryTests.this.directory.evacuate("b");
			assertThat(usable(0)).containsExactly("one");
		}

		/**
		 * Guards against sending a request after the evacuation over a connection
		 * requested before it.
		 */
		@Test
		void replicaChosenBeforeTheEvacuationCannotBeUsed() {
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(0, this.one)).isTrue();
			ReplicaDirectoryTests.this.directory.evacuate("a");
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(0, this.one)).isFalse();
		}

		@Test
		void restartedReplicaCannotBeUsedAsTheChosenOne() {
			ReplicaDirectoryTests.this.directory
				.onListed(new Replica(this.one.id(), DESK, this.one.address(), "a", "v1", 8, false, 2));
			assertThat(ReplicaDirectoryTests.this.directory.canStillUse(0, this.one)).isFalse();
		}

	}

}
