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
 * @param processName the process
 * @param at when it was, in milliseconds
 * @param runMillis for each trait of those requests how long the last of them that has it
 * had been there, in milliseconds
 */
public record Crash(String processName, long at, Map<Trait, Long> runMillis) {

	public Crash {
		runMillis = Map.copyOf(runMillis);
	}

	/**
	 * Names a replica's process. Another one under the same id has another name.
	 * @param replica the replica
	 * @return the name
	 */
	public static String processName(Replica replica) {
		return replica.id().value() + '@' + replica.startedAt();
	}

	/**
	 * Returns the parts of prompts among its traits.
	 * @return their text forms, sorted
	 */
	public List<String> parts() {
		return values(true);
	}

	/**
	 * Returns the contents of requests among its traits.
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
	 * Returns when the last request with a trait came there.
	 */
	long lastRequestAt(Trait trait) {
		return this.at - this.runMillis.get(trait);
	}

	/**
	 * Joins what two nodes saw of the same end.
	 */
	Crash merge(Crash other) {
		Map<Trait, Long> both = new LinkedHashMap<>(this.runMillis);
		other.runMillis.forEach((trait, millis) -> both.merge(trait, millis, Math::min));
		return new Crash(this.processName, Math.min(this.at, other.at), both);
	}

	/**
	 * Returns the same end with some of its traits only.
	 */
	Crash retainTraits(Set<Trait> traits) {
		Map<Trait, Long> some = new HashMap<>(this.runMillis);
		some.keySet().retainAll(traits);
		return new Crash(this.processName, this.at, some);
	}

}
