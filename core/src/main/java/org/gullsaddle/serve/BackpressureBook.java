package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * How replicas asked this node for fewer requests. What one process asked does not bind
 * the next one under its id. Confined to one thread.
 */
public final class BackpressureBook {

	private final Map<ReplicaId, Entry> entries = new HashMap<>();

	/**
	 * Takes in what an answer says.
	 * @param replica the replica that answered
	 * @param asked what it asks for
	 * @return whether its limit is another one than before
	 */
	public boolean heard(Replica replica, Backpressure asked) {
		OptionalDouble before = limit(replica);
		OptionalDouble now = switch (asked.limit()) {
			case RateLimit.Named named -> OptionalDouble.of(named.perSecond());
			case RateLimit.None none -> OptionalDouble.empty();
			case RateLimit.Unreadable unreadable -> before;
		};
		if (now.isEmpty()) {
			this.entries.remove(replica.id());
		}
		else {
			this.entries.put(replica.id(), new Entry(replica, now.getAsDouble()));
		}
		return !now.equals(before);
	}

	/**
	 * Returns the limit that a replica names.
	 * @param replica the replica
	 * @return the requests a second that it takes from all nodes, or empty for no limit
	 */
	public OptionalDouble limit(Replica replica) {
		Entry entry = this.entries.get(replica.id());
		return (entry != null && entry.replica.sameProcess(replica)) ? OptionalDouble.of(entry.perSecond)
				: OptionalDouble.empty();
	}

	/**
	 * Returns how many replicas name a limit.
	 * @return their number
	 */
	public int countLimited() {
		return this.entries.size();
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.entries.keySet().retainAll(known);
	}

	private record Entry(Replica replica, double perSecond) {
	}

}
