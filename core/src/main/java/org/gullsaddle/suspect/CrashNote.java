package org.gullsaddle.suspect;

import java.util.List;
import java.util.Map;

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

	/** Largest age that a note may name, in milliseconds: a day. */
	private static final long MAX_AGE_MILLIS = 86_400_000;

	public CrashNote {
		crashes = (crashes != null) ? List.copyOf(crashes) : List.of();
		sound = (sound != null) ? Map.copyOf(sound) : Map.of();
		refused = (refused != null) ? List.copyOf(refused) : List.of();
		sound.values().forEach(CrashNote::checkAge);
	}

	private static void checkAge(long millis) {
		Check.that(millis >= 0 && millis <= MAX_AGE_MILLIS, "an age must be between 0 and a day, not " + millis);
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
	 */
	public record NotedCrash(String process, long ageMillis, Map<Trait, Long> ran) {

		public NotedCrash {
			ran = (ran != null) ? Map.copyOf(ran) : Map.of();
			Check.notNull(process, "process");
			checkAge(ageMillis);
			ran.values().forEach(CrashNote::checkAge);
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
			checkAge(crashAgeMillis);
			checkAge(seenAgeMillis);
			Check.that(trials >= 0, "trials must not be negative");
		}

	}

}
