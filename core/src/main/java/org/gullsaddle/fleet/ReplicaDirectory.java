package org.gullsaddle.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The replicas as last reported by the registry. Confined to one thread; times are in
 * milliseconds.
 * <p>
 * While the store is unreachable, leases of healthy replicas expire, and when it returns
 * their entries are missing until the replicas renew them. Believing the empty registry
 * would refuse every caller. So an entry that disappears around an outage is kept for
 * {@link #LAPSED_RETENTION_MILLIS} after the store's return, by when a healthy replica
 * has renewed it. That time runs on through the next outage, as the replica may have
 * left. Only a service that has lost several entries, and has none left, is taken for one
 * whose replicas had no time to renew them: while the store is unreachable again they
 * stay in use, and get that time anew after its return.
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

	/**
	 * Missing entries of one service from which on the store is assumed to have lost
	 * them. A single one may be that of a replica that left.
	 */
	private static final int MIN_LOST_ENTRIES = 2;

	private final Map<ReplicaId, Replica> listed = new TreeMap<>();

	private final Map<ReplicaId, Lapsed> lapsed = new HashMap<>();

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
	 * Handles an answer of the store, or the finding that it is unreachable.
	 * @param now the time
	 * @param unreachable whether it is unreachable
	 */
	public void storeUnreachable(long now, boolean unreachable) {
		if (!unreachable) {
			onStoreAnswer(now);
		}
		this.wasUnreachable = this.wasUnreachable || unreachable;
		this.storeUnreachable = unreachable;
	}

	private void onStoreAnswer(long now) {
		if (this.storeUnreachable) {
			this.reachableSince = now;
			this.lapsed.replaceAll((id, entry) -> isLost(entry.replica.service())
					? new Lapsed(entry.replica, now + LAPSED_RETENTION_MILLIS) : entry);
		}
		this.lapsed.values().removeIf((entry) -> now > entry.until);
		this.cold.keySet().removeIf((id) -> !this.listed.containsKey(id) && !this.lapsed.containsKey(id));
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
		return Stream.concat(listed(service), retained(now, service))
			.sorted(Comparator.comparing(Replica::id))
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
		return find(chosen.id()).or(() -> findRetained(now, chosen))
			.filter((known) -> known.isSameProcess(chosen) && canUse(known))
			.isPresent();
	}

	private Optional<Replica> findRetained(long now, Replica chosen) {
		return retained(now, chosen.service()).filter((each) -> each.id().equals(chosen.id())).findFirst();
	}

	private Stream<Replica> listed(ServiceName service) {
		return this.listed.values().stream().filter((replica) -> replica.service().equals(service));
	}

	private Stream<Lapsed> lapsed(ServiceName service) {
		return this.lapsed.values().stream().filter((entry) -> entry.replica.service().equals(service));
	}

	/**
	 * Returns the replicas of a service that are in use though their entries are missing.
	 */
	private Stream<Replica> retained(long now, ServiceName service) {
		boolean lost = this.storeUnreachable && isLost(service);
		return lapsed(service).filter((entry) -> lost || now <= entry.until).map(Lapsed::replica);
	}

	/**
	 * Returns whether the store has lost the entries of a service: none is left, and
	 * their replicas had no time to renew them.
	 */
	private boolean isLost(ServiceName service) {
		return lapsed(service).count() >= MIN_LOST_ENTRIES && listed(service).findAny().isEmpty();
	}

	private boolean canUse(Replica replica) {
		return !replica.draining() && !isLeaving(replica) && !this.evacuatedDataCenters.contains(replica.dataCenter());
	}

	private void onMissing(long now, Replica replica) {
		if (!replica.draining() && this.wasUnreachable && now <= retentionEnd(now)) {
			this.lapsed.put(replica.id(), new Lapsed(replica, retentionEnd(now)));
		}
	}

	private long retentionEnd(long now) {
		return (this.storeUnreachable ? now : this.reachableSince) + LAPSED_RETENTION_MILLIS;
	}

	/**
	 * A replica whose entry is missing.
	 *
	 * @param until when it is gone unless it is listed again
	 */
	private record Lapsed(Replica replica, long until) {
	}

	private record Leaving(Replica replica, long at) {
	}

	private record Cold(Replica replica, long reportedMillis, long until) {
	}

}
