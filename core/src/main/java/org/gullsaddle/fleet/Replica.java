package org.gullsaddle.fleet;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.Check;

/**
 * A replica's entry in the service registry, written by the replica.
 *
 * @param id its id
 * @param service the service that it belongs to
 * @param address where it listens
 * @param dataCenter where it is
 * @param release the version of its software, which a roll-out replaces
 * @param slots how many requests it runs at once
 * @param draining whether it is about to stop and takes no new work
 * @param startedAt when it started, in milliseconds since the epoch, 0 if unknown; a
 * different value under the same id is a new process without the old one's state
 */
public record Replica(ReplicaId id, ServiceName service, Address address, String dataCenter, String release, int slots,
		boolean draining, long startedAt) {

	/**
	 * Checks that no part is missing.
	 */
	public Replica {
		Check.notNull(id, "id");
		Check.notNull(service, "service");
		Check.notNull(address, "address");
		Check.notEmpty(dataCenter, "data center");
		Check.notEmpty(release, "release");
		Check.that(slots > 0, "slots must be positive");
	}

	/**
	 * Returns whether another entry describes the same process.
	 * @param other the other entry
	 * @return true if neither the address nor the start has changed
	 */
	public boolean isSameProcess(Replica other) {
		return this.address.equals(other.address) && this.startedAt == other.startedAt;
	}

}
