package org.gullsaddle.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The replicas as the registry last told of them. Confined to one thread.
 * <p>
 * While the store is away, leases of replicas that live and serve run out, and at its
 * return their entries are missing until they write again. Taken at its word, an empty
 * registry would turn every caller away. So an entry that goes missing around an outage
 * is kept for {@link #LAPSED_MILLIS} after the store's return, by when a replica that
 * lives has written again, and then is taken as gone.
 */
public final class ReplicaDirectory {

	/**
	 * How long a lapsed entry is used after the store's return: replicas are back within
	 * about two seconds, by the platform's word.
	 */
	static final long LAPSED_MILLIS = 2200;

	private final Map<ReplicaId, Replica> listed = new TreeMap<>();

	private final Map<ReplicaId, Replica> lapsed = new HashMap<>();

	private boolean away;

	private boolean told;

	private boolean everAway;

	private long backAt;

	/**
	 * Takes in that the whole registry was read.
	 * @param now the time
	 * @param ids all replicas that it lists
	 */
	public void retain(long now, Set<ReplicaId> ids) {
		List.copyOf(this.listed.keySet()).stream().filter((id) -> !ids.contains(id)).forEach((id) -> remove(now, id));
		this.told = true;
	}

	/**
	 * Takes in an entry.
	 * @param replica the entry
	 */
	public void put(Replica replica) {
		this.lapsed.remove(replica.id());
		this.listed.put(replica.id(), replica);
	}

	/**
	 * Takes in that an entry was removed, or no longer names a replica to use.
	 * @param now the time
	 * @param id the replica
	 */
	public void remove(long now, ReplicaId id) {
		Replica replica = this.listed.remove(id);
		if (replica != null) {
			missing(now, replica);
		}
	}

	/**
	 * Notes that the store cannot be reached, or answers again.
	 * @param now the time
	 * @param isAway whether it is away
	 */
	public void storeAway(long now, boolean isAway) {
		if (this.away && !isAway) {
			this.backAt = now;
		}
		this.everAway = this.everAway || isAway;
		this.away = isAway;
	}

	/**
	 * Says whether the registry was ever read.
	 * @return true once it was
	 */
	public boolean told() {
		return this.told;
	}

	/**
	 * Finds a replica.
	 * @param id the replica
	 * @return its entry, or empty if it is not listed
	 */
	public Optional<Replica> find(ReplicaId id) {
		return Optional.ofNullable(this.listed.get(id));
	}

	/**
	 * Returns the ids of all replicas that are listed or may have lapsed.
	 * @return the ids
	 */
	public Set<ReplicaId> known() {
		Set<ReplicaId> known = new HashSet<>(this.listed.keySet());
		known.addAll(this.lapsed.keySet());
		return known;
	}

	/**
	 * Returns the replicas of a service that take new work.
	 * @param now the time
	 * @param service the service
	 * @return the replicas, in the order of their ids
	 */
	public List<Replica> usable(long now, ServiceName service) {
		if (!outage(now)) {
			this.lapsed.clear();
		}
		TreeMap<ReplicaId, Replica> all = new TreeMap<>(this.lapsed);
		all.putAll(this.listed);
		return all.values()
			.stream()
			.filter((replica) -> replica.service().equals(service))
			.filter((replica) -> !replica.draining())
			.toList();
	}

	private void missing(long now, Replica replica) {
		if (outage(now) && !replica.draining()) {
			this.lapsed.put(replica.id(), replica);
		}
	}

	private boolean outage(long now) {
		return this.away || (this.everAway && now - this.backAt <= LAPSED_MILLIS);
	}

}
