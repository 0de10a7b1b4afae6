package org.gullsaddle.suspect;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Fingerprint;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests whose answers go well for a while before they crash their replicas.
 */
class LateCrashTests {

	private static final Trait CONTENT = Trait.content(new Fingerprint("poison"));

	private static final Trait PART = Trait.part("part");

	private static final Trait COMMON = Trait.part("common");

	private final CrashTracker tracker = new CrashTracker();

	private int processes;

	/**
	 * Runs a request that goes well for half a second and crashes its replica after 0.8
	 * s.
	 */
	private void runAndCrash(long now, List<Trait> traits) {
		Object attempt = new Object();
		this.tracker.onRunning(attempt, now + 500, traits);
		Map<Trait, Long> ran = new LinkedHashMap<>();
		traits.forEach((trait) -> ran.put(trait, 800L));
		this.tracker.onRunEnded(attempt);
		this.processes++;
		this.tracker.onCrash(now + 800, new Crash("process-" + this.processes, now + 800, ran));
	}

	/**
	 * Guards against a content that is never refused, as each of its runs counts as a
	 * success before it crashes its replica.
	 */
	@Test
	void contentThatCrashesReplicasLateIsBlocked() {
		for (int i = 0; i < 3; i++) {
			runAndCrash(2000 * i, List.of(COMMON, CONTENT));
			this.tracker.onSuccess(2000 * i + 1000, List.of(COMMON));
		}
		assertThat(this.tracker.isBlocked(List.of(CONTENT))).isTrue();
		assertThat(this.tracker.isBlocked(List.of(COMMON))).isFalse();
	}

	/** Guards against the same by a part that different contents share. */
	@Test
	void partThatCrashesReplicasLateIsBlocked() {
		for (int i = 0; i < 4; i++) {
			runAndCrash(2000 * i, List.of(COMMON, PART, Trait.content(new Fingerprint("own-" + i))));
			this.tracker.onSuccess(2000 * i + 1000, List.of(COMMON));
		}
		assertThat(this.tracker.isBlocked(List.of(PART))).isTrue();
		assertThat(this.tracker.isBlocked(List.of(COMMON))).isFalse();
	}

	/**
	 * Guards against a sound part that is refused for crashes of others, as its long
	 * answers have not ended yet.
	 */
	@Test
	void partOfRequestsThatRunOnIsNotBlocked() {
		for (int i = 0; i < 8; i++) {
			runAndCrash(2000 * i, List.of(PART, Trait.content(new Fingerprint("own-" + i))));
			this.tracker.onRunning("long", 2000 * i + 900, List.of(PART));
		}
		assertThat(this.tracker.isBlocked(List.of(PART))).isFalse();
	}

}
