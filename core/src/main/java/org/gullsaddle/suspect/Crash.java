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
 * @param process the process
 * @param at when it was, in milliseconds
 * @param ran for each trait of those requests how long the last of them that has it had
 * been there, in milliseconds
 */
public record Crash(String process, long at, Map<Trait, Long> ran) {

	public Crash {
		ran = Map.copyOf(ran);
	}

	/**
	 * Names a replica's process. Another one under the same id has another name.
	 * @param replica the replica
	 * @return the name
	 */
	public static String process(Replica replica) {
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
		return this.ran.keySet()
			.stream()
			.filter((trait) -> trait.isPart() == parts)
			.map(Trait::value)
			.sorted()
			.toList();
	}

	Set<Trait> traits() {
		return this.ran.keySet();
	}

	boolean has(Trait trait) {
		return this.ran.containsKey(trait);
	}

	/**
	 * Returns when the last request with a trait came there.
	 */
	long startedAt(Trait trait) {
		return this.at - this.ran.get(trait);
	}

	/**
	 * Joins what two nodes saw of the same end.
	 */
	Crash and(Crash other) {
		Map<Trait, Long> both = new LinkedHashMap<>(this.ran);
		other.ran.forEach((trait, millis) -> both.merge(trait, millis, Math::min));
		return new Crash(this.process, Math.min(this.at, other.at), both);
	}

	/**
	 * Returns the same end with some of its traits only.
	 */
	Crash with(Set<Trait> traits) {
		Map<Trait, Long> some = new HashMap<>(this.ran);
		some.keySet().retainAll(traits);
		return new Crash(this.process, this.at, some);
	}

}
