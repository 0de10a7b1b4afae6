package org.gullsaddle.suspect;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.Replica;

/**
 * The end of a replica's process while requests ran there.
 *
 * @param processName the process, see {@link #processName(Replica)}
 * @param at when it ended, in milliseconds
 * @param runMillis for each trait of those requests, how long the most recent one with
 * that trait had been on the replica, in milliseconds
 * @param silent whether it went silent before it was found dead, and no connection broke
 */
public record Crash(String processName, long at, Map<Trait, Long> runMillis, boolean silent) {

	public Crash {
		runMillis = Map.copyOf(runMillis);
	}

	/**
	 * Makes a crash at which connections broke.
	 * @param processName the process
	 * @param at when it ended, in milliseconds
	 * @param runMillis how long requests had run by trait, in milliseconds
	 */
	public Crash(String processName, long at, Map<Trait, Long> runMillis) {
		this(processName, at, runMillis, false);
	}

	/**
	 * Returns the name of a replica's process. A later process under the same replica id
	 * has another name.
	 * @param replica the replica
	 * @return its id and start time
	 */
	public static String processName(Replica replica) {
		return replica.id().value() + '@' + replica.startedAt();
	}

	/**
	 * Returns the prompt parts among its traits.
	 * @return their text forms, sorted
	 */
	public List<String> parts() {
		return values(true);
	}

	/**
	 * Returns the request contents among its traits.
	 * @return their text forms, sorted
	 */
	public List<String> contents() {
		return values(false);
	}

	private List<String> values(boolean parts) {
		return this.runMillis.keySet()
			.stream()
			.filter((trait) -> trait.isPart() == parts)
			.map(Trait::value)
			.sorted()
			.toList();
	}

	Set<Trait> traits() {
		return this.runMillis.keySet();
	}

	boolean hasTrait(Trait trait) {
		return this.runMillis.containsKey(trait);
	}

	/**
	 * Returns when the most recent request with a trait reached the replica, in
	 * milliseconds.
	 */
	long lastRequestAt(Trait trait) {
		return this.at - this.runMillis.get(trait);
	}

	/**
	 * Combines two nodes' observations of the same crash.
	 */
	Crash merge(Crash other) {
		Map<Trait, Long> merged = new LinkedHashMap<>(this.runMillis);
		other.runMillis.forEach((trait, millis) -> merged.merge(trait, millis, Math::min));
		return new Crash(this.processName, Math.min(this.at, other.at), merged, this.silent && other.silent);
	}

	/**
	 * Returns a copy restricted to some traits.
	 */
	Crash retainTraits(Set<Trait> traits) {
		Map<Trait, Long> retained = new HashMap<>(this.runMillis);
		retained.keySet().retainAll(traits);
		return new Crash(this.processName, this.at, retained, this.silent);
	}

}
