package org.gullsaddle.suspect;

import java.util.List;
import java.util.Map;

/**
 * What a node tells others of crashes and of what it refuses for them. All ages are as of
 * the writing, in milliseconds.
 *
 * @param writtenAt the Unix millisecond of the writing
 * @param crashes the ends of replicas
 * @param sound traits that speak for themselves: for each how long ago a request with it
 * was answered
 * @param refused what is refused
 */
public record CrashNote(long writtenAt, List<NotedCrash> crashes, Map<Trait, Long> sound, List<NotedBlock> refused) {

	public CrashNote {
		crashes = (crashes != null) ? List.copyOf(crashes) : List.of();
		sound = (sound != null) ? Map.copyOf(sound) : Map.of();
		refused = (refused != null) ? List.copyOf(refused) : List.of();
	}

	boolean empty() {
		return this.crashes.isEmpty() && this.sound.isEmpty() && this.refused.isEmpty();
	}

	/**
	 * The end of a replica's process.
	 *
	 * @param process the process
	 * @param ageMillis how long ago it was
	 * @param ran see {@link Crash}
	 */
	public record NotedCrash(String process, long ageMillis, Map<Trait, Long> ran) {

		public NotedCrash {
			ran = (ran != null) ? Map.copyOf(ran) : Map.of();
		}

	}

	/**
	 * A trait whose requests are refused.
	 *
	 * @param trait the trait
	 * @param crashAgeMillis how long ago the last crash was that speaks against it
	 * @param seenAgeMillis how long ago the last request with it came
	 * @param trials how many requests were let through to try it again
	 * @param trialInMillis how soon the next one may be
	 */
	public record NotedBlock(Trait trait, long crashAgeMillis, long seenAgeMillis, int trials, long trialInMillis) {
	}

}
