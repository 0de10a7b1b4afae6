package org.gullsaddle.rollout;

import java.util.Random;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TemplateName;

import static org.assertj.core.api.Assertions.assertThat;

class VersionGuardTests {

	private static final TemplateName TEMPLATE = new TemplateName("assistant");

	private static final ModelVersion VERSION = ModelVersion.of("large@v2");

	private final VersionGuard guard = new VersionGuard();

	/**
	 * Guards against a version that degrades after a long good period and is halted late,
	 * or is resumed once better answers follow.
	 */
	@Test
	void versionThatDegradesIsHaltedWithinFewAnswersAndDoesNotFlap() {
		Random random = new Random(1);
		for (int i = 0; i < 1000; i++) {
			assertThat(this.guard.onRating(TEMPLATE, VERSION, 0.9, 0.9 + 0.1 * random.nextGaussian())).isEmpty();
		}
		int answers = 0;
		while (this.guard.haltedVersions(TEMPLATE).isEmpty()) {
			this.guard.onRating(TEMPLATE, VERSION, 0.9, 0.5 + 0.1 * random.nextGaussian());
			answers++;
		}
		assertThat(answers).isLessThan(10);
		for (int i = 0; i < 100; i++) {
			this.guard.onRating(TEMPLATE, VERSION, 0.9, 0.95);
		}
		assertThat(this.guard.haltedVersions(TEMPLATE)).containsExactly(VERSION);
	}

	@Test
	void versionThatFailsIsHaltedWithinFewAttempts() {
		int attempts = 0;
		while (this.guard.haltedVersions(TEMPLATE).isEmpty()) {
			this.guard.onAttemptEnd(TEMPLATE, VERSION, true);
			attempts++;
		}
		assertThat(attempts).isBetween(2, 5);
	}

	@Test
	void oneFailureInFiftyDoesNotHalt() {
		for (int i = 0; i < 5000; i++) {
			assertThat(this.guard.onAttemptEnd(TEMPLATE, VERSION, i % 50 == 0)).isEmpty();
		}
	}

	/**
	 * Guards against halting a cheap version of a cascade that has always answered every
	 * third prompt badly. That is why it is rated, and no reason to halt it.
	 */
	@Test
	void versionThatWasAlwaysWeakIsNotHalted() {
		Random random = new Random(2);
		for (int i = 0; i < 20_000; i++) {
			double score = (random.nextInt(3) == 0) ? 0.35 : 0.95;
			assertThat(this.guard.onRating(TEMPLATE, VERSION, 0.75, score)).isEmpty();
		}
	}

	@Test
	void operatorsChangeEndsTheHalt() {
		this.guard.onHalt(new Halt(TEMPLATE, 1, VERSION, "failures"));
		this.guard.onTemplateChange(TEMPLATE, 2);
		assertThat(this.guard.haltedVersions(TEMPLATE)).isEmpty();
	}

	@Test
	void haltOfAnOlderRevisionIsIgnored() {
		this.guard.onTemplateChange(TEMPLATE, 2);
		this.guard.onHalt(new Halt(TEMPLATE, 1, VERSION, "failures"));
		assertThat(this.guard.haltedVersions(TEMPLATE)).isEmpty();
	}

}
