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
	class BetweenTwoOutagesOfTheStore {

		private static final long RETURN = 5500;

		private static final long GRACE_END = RETURN + ReplicaDirectory.LAPSED_RETENTION_MILLIS;

		private static final long SECOND_OUTAGE = 7000;

		private static final long SECOND_RETURN = 11_500;

		private final ReplicaDirectory directory = ReplicaDirectoryTests.this.directory;

		@BeforeEach
		void firstOutage() {
			this.directory.onListed(replica("one", false));
			this.directory.onListed(replica("two", false));
			this.directory.storeUnreachable(1000, true);
			this.directory.storeUnreachable(RETURN, false);
		}

		private void unlist(String... ids) {
			for (String id : ids) {
				this.directory.onUnlisted(RETURN + 100, new ReplicaId(id));
			}
		}

		/**
		 * Guards against using a replica that left after an outage for as long as the
		 * next outage lasts.
		 */
		@Test
		void replicaThatLeftIsNotUsedThroughTheSecond() {
			unlist("one");
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(usable(GRACE_END)).containsExactly("one", "two");
			assertThat(this.directory.canStillUse(GRACE_END, replica("one", false))).isTrue();
			assertThat(this.directory.canStillUse(GRACE_END + 1, replica("one", false))).isFalse();
			assertThat(usable(GRACE_END + 1)).containsExactly("two");
		}

		/** Guards against a return of the store that makes gone replicas usable again. */
		@Test
		void replicaThatLeftIsNotUsedAfterTheSecond() {
			unlist("one");
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			this.directory.storeUnreachable(SECOND_RETURN, false);
			assertThat(this.directory.canStillUse(SECOND_RETURN, replica("one", false))).isFalse();
			assertThat(usable(SECOND_RETURN)).containsExactly("two");
		}

		@Test
		void replicaThatIsListedAgainIsUsedThroughTheSecond() {
			unlist("one");
			this.directory.onListed(replica("one", false));
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(usable(SECOND_RETURN)).containsExactly("one", "two");
		}

		@Test
		void replicaMissingFromAFullReadIsNotUsedThroughTheSecond() {
			this.directory.onRegistryRead(RETURN + 100, Set.of(new ReplicaId("two")));
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(usable(GRACE_END)).containsExactly("one", "two");
			assertThat(usable(GRACE_END + 1)).containsExactly("two");
		}

		@Test
		void replicaThatLeftIsForgottenWhenTheStoreAnswersAgain() {
			this.directory.onColdReport(RETURN, replica("one", false), 60_000);
			unlist("one");
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			this.directory.storeUnreachable(SECOND_RETURN, false);
			assertThat(this.directory.coldMillis(SECOND_RETURN, new ReplicaId("one"))).isZero();
			assertThat(this.directory.knownIds()).containsExactly(new ReplicaId("two"));
		}

		@Test
		void lonelyReplicaThatLeftIsNotUsedThroughTheSecond() {
			this.directory.onListed(new Replica(new ReplicaId("three"), new ServiceName("shelf"),
					new Address("10.0.0.3", 80), "a", "v1", 8, false, 1));
			unlist("three");
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(this.directory.usableReplicas(GRACE_END + 1, new ServiceName("shelf"), (dataCenter) -> true))
				.isEmpty();
		}

		/**
		 * Guards against refusing all callers of a service whose entries expired in one
		 * outage and could not be renewed before the next.
		 */
		@Test
		void serviceThatLostAllEntriesIsServedThroughTheSecond() {
			unlist("one", "two");
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(usable(SECOND_RETURN)).containsExactly("one", "two");
			assertThat(this.directory.canStillUse(SECOND_RETURN, replica("one", false))).isTrue();
			this.directory.storeUnreachable(SECOND_RETURN, false);
			assertThat(usable(SECOND_RETURN + ReplicaDirectory.LAPSED_RETENTION_MILLIS)).containsExactly("one", "two");
			assertThat(usable(SECOND_RETURN + ReplicaDirectory.LAPSED_RETENTION_MILLIS + 1)).isEmpty();
		}

		/** Guards against a second outage that is noticed only after the retention. */
		@Test
		void serviceThatLostAllEntriesIsServedThoughTheSecondIsNoticedLate() {
			unlist("one", "two");
			assertThat(usable(GRACE_END + 1)).isEmpty();
			this.directory.storeUnreachable(GRACE_END + 500, true);
			assertThat(usable(GRACE_END + 500)).containsExactly("one", "two");
		}

		@Test
		void entriesThatWereStillMissingWhenTheStoreAnsweredLaterAreGone() {
			unlist("one", "two");
			this.directory.storeUnreachable(GRACE_END + 1, false);
			this.directory.storeUnreachable(GRACE_END + 500, true);
			assertThat(usable(GRACE_END + 500)).isEmpty();
		}

		@Test
		void entriesOfAServiceOfWhichOneIsBackAreGoneInTime() {
			unlist("one", "two");
			this.directory.onListed(replica("two", false));
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(usable(GRACE_END + 1)).containsExactly("two");
		}

		@Test
		void replicaOfALostServiceThatSaidThatItLeavesIsNotUsed() {
			this.directory.onLeaving(RETURN, replica("one", false));
			unlist("one", "two");
			this.directory.storeUnreachable(SECOND_OUTAGE, true);
			assertThat(usable(SECOND_RETURN)).containsExactly("two");
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
