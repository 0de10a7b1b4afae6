package org.gullsaddle.fleet;

/**
 * Something that the platform tells of the deployment.
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
	 * @param coldMillis how long it says that it stays cold, in milliseconds
	 */
	record Listed(Replica replica, long coldMillis) implements FleetChange {
	}

	/**
	 * A replica's entry was removed, or names no replica to use any more.
	 *
	 * @param id the replica
	 */
	record Unlisted(ReplicaId id) implements FleetChange {
	}

	/**
	 * A roll-out was ordered.
	 *
	 * @param order the order
	 * @param revision the store's revision of the order, another for each order
	 */
	record RolloutOrdered(RolloutOrder order, long revision) implements FleetChange {
	}

	/**
	 * The state of a roll-out was written.
	 *
	 * @param service the service
	 * @param target the release that it moves to
	 * @param state the state
	 * @param revision the store's revision of it
	 */
	record RolloutProgressed(ServiceName service, String target, RolloutState state,
			long revision) implements FleetChange {
	}

	/**
	 * A data center is to be emptied: its replicas get nothing new.
	 *
	 * @param dataCenter the data center
	 */
	record EvacuationBegan(String dataCenter) implements FleetChange {
	}

	/**
	 * A data center's replicas may be used again.
	 *
	 * @param dataCenter the data center
	 */
	record EvacuationEnded(String dataCenter) implements FleetChange {
	}

	/**
	 * A node of this system wrote a note for the others.
	 *
	 * @param key where
	 * @param value what
	 */
	record NoteWritten(String key, String value) implements FleetChange {
	}

	/**
	 * A configuration was accepted that cannot be read here, so that the one before is
	 * not the operators' any more.
	 *
	 * @param reason what is wrong with it
	 */
	record ConfigUnreadable(String reason) implements FleetChange {
	}

	/**
	 * A record that cannot be read. It changes nothing.
	 *
	 * @param key where it stands
	 * @param reason what is wrong with it
	 */
	record RecordUnreadable(String key, String reason) implements FleetChange {
	}

}
