package org.gullsaddle.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * The replicas as the registry last told of them. Confined to one thread.
 * <p>
 * While the store is away, leases of replicas that live and serve run out, and at its
 * return their entries are missing until they write again. Taken at its word, an empty
 * registry would turn every caller away. So an entry that goes missing around an outage
 * is kept for {@link #LAPSED_RETENTION_MILLIS} after the store's return, by when a
 * replica that lives has written again, and then is taken as gone.
 */
public final class ReplicaDirectory {

	/**
	 * How long a lapsed entry is used after the store's return: replicas are back within
	 * about two seconds, by the platform's word.
	 */
	static final long LAPSED_RETENTION_MILLIS = 2200;

	/**
	 * How long a replica that says that it leaves, and is not listed, is remembered, in
	 * milliseconds: its entry may come back after an outage of the store.
	 */
	static final long LEAVING_RETENTION_MILLIS = 600_000;

	/** How long a replica is taken as cold by one word of it, in milliseconds. */
	static final long MAX_COLD_MILLIS = 60_000;

	private final Map<ReplicaId, Replica> listed = new TreeMap<>();

	private final Map<ReplicaId, Replica> lapsed = new HashMap<>();

	private final Set<String> evacuatedDataCenters = new TreeSet<>();

	private final Map<ReplicaId, Cold> cold = new HashMap<>();

	/** Replicas that have said themselves that they leave. */
	private final Map<ReplicaId, Leaving> leaving = new HashMap<>();

	private boolean storeUnreachable;

	private boolean loaded;

	private boolean wasUnreachable;

	private long reachableSince;

	/**
	 * Takes in that the whole registry was read.
	 * @param now the time
	 * @param ids all replicas that it lists
	 */
	public void onRegistryRead(long now, Set<ReplicaId> ids) {
		List.copyOf(this.listed.keySet())
			.stream()
			.filter((id) -> !ids.contains(id))
			.forEach((id) -> onUnlisted(now, id));
		this.loaded = true;
	}

	/**
	 * Takes in an entry.
	 * @param replica the entry
	 */
	public void onListed(Replica replica) {
		this.lapsed.remove(replica.id());
		this.listed.put(replica.id(), replica);
	}

	/**
	 * Takes in that an entry was removed, or no longer names a replica to use.
	 * @param now the time
	 * @param id the replica
	 */
	public void onUnlisted(long now, ReplicaId id) {
		Replica replica = this.listed.remove(id);
		if (replica != null) {
			onMissing(now, replica);
		}
		if (!this.lapsed.containsKey(id)) {
			this.cold.remove(id);
		}
	}

	/**
	 * Takes in how long a replica says that it stays cold. An entry that is read again
	 * with the same words is as old as when it was read first.
	 * @param now the time
	 * @param replica the replica
	 * @param millis how long, in milliseconds
	 */
	public void onColdReport(long now, Replica replica, long millis) {
		Cold before = this.cold.get(replica.id());
		if (before == null || before.reportedMillis != millis || !before.replica.isSameProcess(replica)) {
			long until = now + Math.clamp(millis, 0, MAX_COLD_MILLIS);
			this.cold.put(replica.id(), new Cold(replica, millis, until));
		}
	}

	/**
	 * Returns how long a replica stays cold.
	 * @param now the time
	 * @param id the replica
	 * @return the time in milliseconds, 0 if it is warm
	 */
	public long coldMillis(long now, ReplicaId id) {
		Cold told = this.cold.get(id);
		return (told != null) ? Math.max(0, told.until - now) : 0;
	}

	/**
	 * Returns how many listed replicas are cold.
	 * @param now the time
	 * @return their number
	 */
	public long coldCount(long now) {
		return this.listed.keySet().stream().filter((id) -> coldMillis(now, id) > 0).count();
	}

	/**
	 * Takes in that a replica has said itself that it leaves, which holds for that
	 * process whatever its entry says.
	 * @param now the time
	 * @param replica the replica
	 * @return whether that is new
	 */
	public boolean onLeaving(long now, Replica replica) {
		if (isLeaving(replica)) {
			return false;
		}
		this.leaving.entrySet()
			.removeIf((entry) -> now - entry.getValue().at > LEAVING_RETENTION_MILLIS
					&& !this.listed.containsKey(entry.getKey()));
		this.leaving.put(replica.id(), new Leaving(replica, now));
		return true;
	}

	/**
	 * Says whether a replica has said itself that it leaves.
	 * @param replica the replica
	 * @return true if its process has
	 */
	public boolean isLeaving(Replica replica) {
		Leaving told = this.leaving.get(replica.id());
		return told != null && told.replica.isSameProcess(replica);
	}

	/**
	 * Takes in that a data center is to be emptied.
	 * @param dataCenter the data center
	 * @return whether that is new
	 */
	public boolean evacuate(String dataCenter) {
		return this.evacuatedDataCenters.add(dataCenter);
	}

	/**
	 * Takes in that a data center's replicas may be used again.
	 * @param dataCenter the data center
	 * @return whether it was to be emptied until now
	 */
	public boolean endEvacuation(String dataCenter) {
		return this.evacuatedDataCenters.remove(dataCenter);
	}

	/**
	 * Returns the data centers whose replicas get nothing new.
	 * @return their names
	 */
	public Set<String> evacuatedDataCenters() {
		return Set.copyOf(this.evacuatedDataCenters);
	}

	/**
	 * Notes that the store cannot be reached, or answers again.
	 * @param now the time
	 * @param isAway whether it is away
	 */
	public void storeUnreachable(long now, boolean isAway) {
		if (this.storeUnreachable && !isAway) {
			this.reachableSince = now;
		}
		this.wasUnreachable = this.wasUnreachable || isAway;
		this.storeUnreachable = isAway;
	}

	/**
	 * Says whether the store cannot be reached.
	 * @return true until it answers again
	 */
	public boolean storeUnreachable() {
		return this.storeUnreachable;
	}

	/**
	 * Says whether the registry was ever read.
	 * @return true once it was
	 */
	public boolean isLoaded() {
		return this.loaded;
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
	public Set<ReplicaId> knownIds() {
		Set<ReplicaId> known = new HashSet<>(this.listed.keySet());
		known.addAll(this.lapsed.keySet());
		return known;
	}

	/**
	 * Returns the replicas of a service that take new work: those that are not about to
	 * stop, in data centers that are allowed and not to be emptied.
	 * @param now the time
	 * @param service the service
	 * @param allowed says of a data center whether it is allowed
	 * @return the replicas, in the order of their ids
	 */
	public List<Replica> usableReplicas(long now, ServiceName service, Predicate<String> allowed) {
		if (!isOutage(now)) {
			this.cold.keySet().removeAll(this.lapsed.keySet());
			this.lapsed.clear();
		}
		TreeMap<ReplicaId, Replica> all = new TreeMap<>(this.lapsed);
		all.putAll(this.listed);
		return all.values()
			.stream()
			.filter((replica) -> replica.service().equals(service))
			.filter(this::canUse)
			.filter((replica) -> allowed.test(replica.dataCenter()))
			.toList();
	}

	/**
	 * Says whether a replica that was chosen a moment ago still takes new work.
	 * @param now the time
	 * @param chosen the replica
	 * @return true if the same process is known and its data center is not to be emptied
	 */
	public boolean canStillUse(long now, Replica chosen) {
		Replica known = this.listed.get(chosen.id());
		if (known == null && isOutage(now)) {
			known = this.lapsed.get(chosen.id());
		}
		return known != null && known.isSameProcess(chosen) && canUse(known);
	}

	private boolean canUse(Replica replica) {
		return !replica.draining() && !isLeaving(replica) && !this.evacuatedDataCenters.contains(replica.dataCenter());
	}

	private void onMissing(long now, Replica replica) {
		if (isOutage(now) && !replica.draining()) {
			this.lapsed.put(replica.id(), replica);
		}
	}

	private boolean isOutage(long now) {
		return this.storeUnreachable || (this.wasUnreachable && now - this.reachableSince <= LAPSED_RETENTION_MILLIS);
	}

	private record Leaving(Replica replica, long at) {
	}

	private record Cold(Replica replica, long reportedMillis, long until) {
	}

}
