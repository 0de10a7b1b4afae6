package org.gullsaddle.fleet;

import org.gullsaddle.base.Address;

/**
 * A replica as it describes itself in the service registry.
 *
 * @param id its id
 * @param service the service that it runs
 * @param address where it listens
 * @param dataCenter where it is
 * @param release the version of its software, which a roll-out replaces
 * @param slots how many requests it runs at once
 * @param draining whether it takes no new work, as it is about to stop
 * @param startedAt the Unix millisecond of its start, 0 if not told; another one under
 * the same id is another process that remembers nothing
 */
public record Replica(ReplicaId id, ServiceName service, Address address, String dataCenter, String release, int slots,
		boolean draining, long startedAt) {

	/**
	 * Says whether an entry names the same process.
	 * @param other the other entry
	 * @return true if neither the address nor the start has changed
	 */
	public boolean isSameProcess(Replica other) {
		return this.address.equals(other.address) && this.startedAt == other.startedAt;
	}

}
