package org.gullsaddle.suspect;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonInclude;

import org.gullsaddle.base.Check;

/**
 * The crash evidence and blocked traits that a node reports to its peers through the
 * store. All ages are relative to the time of writing, in milliseconds.
 *
 * @param writtenAt when it was written, in milliseconds since the epoch
 * @param crashes the crashes that the node observed
 * @param sound suspect or blocked traits with successes: for each, how long ago a request
 * with it last succeeded
 * @param refused the traits that the node blocks
 */
public record CrashNote(long writtenAt, List<NotedCrash> crashes, Map<Trait, Long> sound, List<NotedBlock> refused) {

	/**
	 * Largest age that counts, in milliseconds: a day, long after all that a note tells
	 * of has expired.
	 */
	private static final long MAX_AGE_MILLIS = 86_400_000;

	public CrashNote {
		crashes = (crashes != null) ? List.copyOf(crashes) : List.of();
		sound = clampAges(sound);
		refused = (refused != null) ? List.copyOf(refused) : List.of();
	}

	/**
	 * Limits an age to what a node can have meant, so that sums of times cannot overflow.
	 */
	private static long clampAge(long millis) {
		return Math.clamp(millis, 0, MAX_AGE_MILLIS);
	}

	private static Map<Trait, Long> clampAges(Map<Trait, Long> ages) {
		if (ages == null) {
			return Map.of();
		}
		return ages.entrySet()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, (entry) -> clampAge(entry.getValue())));
	}

	boolean empty() {
		return this.crashes.isEmpty() && this.sound.isEmpty() && this.refused.isEmpty();
	}

	/**
	 * A crash that the node observed.
	 *
	 * @param process the process, see {@link Crash#processName()}
	 * @param ageMillis how long ago the process ended
	 * @param ran how long requests had run by trait, see {@link Crash#runMillis()}
	 * @param silent whether it went silent, see {@link Crash#silent()}
	 */
	public record NotedCrash(String process, long ageMillis, Map<Trait, Long> ran,
			@JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean silent) {

		public NotedCrash {
			Check.notNull(process, "process");
			ageMillis = clampAge(ageMillis);
			ran = clampAges(ran);
		}

	}

	/**
	 * A trait that the node blocks.
	 *
	 * @param trait the trait
	 * @param crashAgeMillis how long ago the last crash with it was
	 * @param seenAgeMillis how long ago the last request with it arrived
	 * @param trials how many requests were let through as trials
	 * @param trialInMillis how long until the next trial is due
	 */
	public record NotedBlock(Trait trait, long crashAgeMillis, long seenAgeMillis, int trials, long trialInMillis) {

		public NotedBlock {
			Check.notNull(trait, "trait");
			crashAgeMillis = clampAge(crashAgeMillis);
			seenAgeMillis = clampAge(seenAgeMillis);
			trials = Math.max(0, trials);
			trialInMillis = clampAge(trialInMillis);
		}

	}

}
