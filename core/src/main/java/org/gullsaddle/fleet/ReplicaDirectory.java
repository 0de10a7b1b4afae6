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
 * The replicas as last reported by the registry. Confined to one thread; times are in
 * milliseconds.
 * <p>
 * While the store is unreachable, leases of healthy replicas expire, and when it returns
 * their entries are missing until the replicas renew them. Believing the empty registry
 * would refuse every caller. So an entry that disappears around an outage is kept for
 * {@link #LAPSED_RETENTION_MILLIS} after the store's return, by when a healthy replica
 * has renewed it, and is removed then.
 */
public final class ReplicaDirectory {

	/**
	 * How long a lapsed entry is used after the store's return. The platform promises
	 * that replicas are back within about two seconds.
	 */
	static final long LAPSED_RETENTION_MILLIS = 2200;

	/**
	 * How long a replica that reported that it leaves and is not listed is remembered:
	 * its entry may reappear after an outage of the store.
	 */
	static final long LEAVING_RETENTION_MILLIS = 600_000;

	/** The longest cold time that is accepted from one report. */
	static final long MAX_COLD_MILLIS = 60_000;

	private final Map<ReplicaId, Replica> listed = new TreeMap<>();

	private final Map<ReplicaId, Replica> lapsed = new HashMap<>();

	private final Set<String> evacuatedDataCenters = new TreeSet<>();

	private final Map<ReplicaId, Cold> cold = new HashMap<>();

	/** Replicas that reported themselves that they leave. */
	private final Map<ReplicaId, Leaving> leaving = new HashMap<>();

	private boolean storeUnreachable;

	private boolean loaded;

	private boolean wasUnreachable;

	private long reachableSince;

	/**
	 * Handles a read of the whole registry, which removes unlisted replicas.
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
	 * Handles a replica's entry.
	 * @param replica the entry
	 */
	public void onListed(Replica replica) {
		this.lapsed.remove(replica.id());
		this.listed.put(replica.id(), replica);
	}

	/**
	 * Handles the removal of an entry.
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
	 * Handles an entry that does not describe a usable replica. It is there and has not
	 * lapsed: the replica may have reported that it leaves.
	 * @param id the replica
	 */
	public void onUnusable(ReplicaId id) {
		this.listed.remove(id);
		this.lapsed.remove(id);
		this.cold.remove(id);
	}

	/**
	 * Handles a replica's report of how long it stays cold. An entry that is read again
	 * unchanged counts from its first read.
	 * @param now the time
	 * @param replica the replica
	 * @param millis the remaining cold time, in milliseconds
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
		Cold reported = this.cold.get(id);
		return (reported != null) ? Math.max(0, reported.until - now) : 0;
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
	 * Handles a replica's own report that it leaves, which holds for that process
	 * whatever its entry says.
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
	 * Returns whether a replica reported itself that it leaves.
	 * @param replica the replica
	 * @return true if this process did
	 */
	public boolean isLeaving(Replica replica) {
		Leaving reported = this.leaving.get(replica.id());
		return reported != null && reported.replica.isSameProcess(replica);
	}

	/**
	 * Starts the evacuation of a data center.
	 * @param dataCenter the data center
	 * @return whether that is new
	 */
	public boolean evacuate(String dataCenter) {
		return this.evacuatedDataCenters.add(dataCenter);
	}

	/**
	 * Ends the evacuation of a data center, so that its replicas may be used again.
	 * @param dataCenter the data center
	 * @return whether it was being evacuated
	 */
	public boolean endEvacuation(String dataCenter) {
		return this.evacuatedDataCenters.remove(dataCenter);
	}

	/**
	 * Returns the data centers whose replicas get no new work.
	 * @return their names
	 */
	public Set<String> evacuatedDataCenters() {
		return Set.copyOf(this.evacuatedDataCenters);
	}

	/**
	 * Handles a change of the store's reachability.
	 * @param now the time
	 * @param unreachable whether it is unreachable
	 */
	public void storeUnreachable(long now, boolean unreachable) {
		if (this.storeUnreachable && !unreachable) {
			this.reachableSince = now;
		}
		this.wasUnreachable = this.wasUnreachable || unreachable;
		this.storeUnreachable = unreachable;
	}

	/**
	 * Returns whether the store is unreachable.
	 * @return true until it answers again
	 */
	public boolean storeUnreachable() {
		return this.storeUnreachable;
	}

	/**
	 * Returns whether the registry was ever read.
	 * @return true once it was
	 */
	public boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Finds a listed replica.
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
	 * stop, in data centers that are allowed and not being evacuated.
	 * @param now the time
	 * @param service the service
	 * @param allowed selects the allowed data centers
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
	 * Returns whether a replica that was chosen a moment ago still takes new work.
	 * @param now the time
	 * @param chosen the replica
	 * @return true if the same process is known and its data center is not being
	 * evacuated
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
