package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * A change of the deployment that the platform reports.
 */
public sealed interface FleetChange {

	/**
	 * A configuration was accepted.
	 *
	 * @param config the configuration
	 */
	record Configured(FleetConfig config) implements FleetChange {
	}

	/**
	 * A replica's entry was written.
	 *
	 * @param replica the replica
	 * @param coldMillis how long it reports to stay cold, in milliseconds
	 */
	record Listed(Replica replica, long coldMillis) implements FleetChange {
	}

	/**
	 * A replica's entry was removed.
	 *
	 * @param id the replica
	 */
	record Unlisted(ReplicaId id) implements FleetChange {
	}

	/**
	 * A roll-out was ordered.
	 *
	 * @param order the order
	 * @param revision the store's revision of the order, different for each order
	 */
	record RolloutOrdered(RolloutOrder order, long revision) implements FleetChange {
	}

	/**
	 * The state of a roll-out was written.
	 *
	 * @param service the service
	 * @param target the release that it moves to
	 * @param state the state
	 * @param revision the store's revision of the state
	 */
	record RolloutProgressed(ServiceName service, String target, RolloutState state,
			long revision) implements FleetChange {

		/**
		 * Checks that no part is missing.
		 */
		public RolloutProgressed {
			Check.notNull(service, "service");
			Check.notEmpty(target, "target");
			Check.notNull(state, "state");
		}

	}

	/**
	 * The evacuation of a data center began: its replicas get no new work.
	 *
	 * @param dataCenter the data center
	 */
	record EvacuationBegan(String dataCenter) implements FleetChange {

		/**
		 * Checks that the data center is named.
		 */
		public EvacuationBegan {
			Check.notEmpty(dataCenter, "data center");
		}

	}

	/**
	 * The evacuation of a data center ended: its replicas may be used again.
	 *
	 * @param dataCenter the data center
	 */
	record EvacuationEnded(String dataCenter) implements FleetChange {

		/**
		 * Checks that the data center is named.
		 */
		public EvacuationEnded {
			Check.notEmpty(dataCenter, "data center");
		}

	}

	/**
	 * A node of this system wrote a note for its peers.
	 *
	 * @param key the note's key in the store
	 * @param value the note
	 */
	record NoteWritten(String key, String value) implements FleetChange {
	}

	/**
	 * A configuration was accepted that this node cannot read, so that the one it has is
	 * outdated.
	 *
	 * @param reason what is wrong with it
	 */
	record ConfigUnreadable(String reason) implements FleetChange {
	}

	/**
	 * A replica's entry is there but cannot be read, so that the replica is not usable.
	 *
	 * @param key the entry's key in the store
	 * @param id the replica
	 * @param reason what is wrong with the entry
	 */
	record EntryUnreadable(String key, ReplicaId id, String reason) implements FleetChange {
	}

	/**
	 * A record could not be read and was skipped.
	 *
	 * @param key its key in the store
	 * @param reason what is wrong with it
	 */
	record RecordUnreadable(String key, String reason) implements FleetChange {
	}

}
