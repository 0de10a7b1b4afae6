package org.gullsaddle.measure;

import java.util.Random;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.rollout.VersionGuard;

/**
 * Requests served by a version that turned bad in the middle of its roll-out, and good
 * versions stopped by mistake.
 */
final class ExposureExperiment implements Measure.Experiment {

	private static final ModelVersion VERSION = ModelVersion.of("large@v2");

	private static final int TURNS_BAD_AT = 500;

	/** When an operator without a guard is taken to notice. */
	private static final int NOTICED_AT = 1500;

	private static final int ROLL_OUTS = 500;

	private static final int ANSWERS = 2000;

	@Override
	public void run(Report report, long seed) {
		int unguarded = NOTICED_AT - TURNS_BAD_AT;
		report.figure("exposure", "fixed canary, no guard", "answers after turning bad", unguarded, "answers");
		for (Kind kind : Kind.values()) {
			Random random = new Random(seed);
			double sum = 0;
			int early = 0;
			for (int i = 0; i < ROLL_OUTS; i++) {
				int stopped = stoppedAt(kind, random, true);
				if (stopped < TURNS_BAD_AT) {
					early++;
				}
				sum += Math.max(0, stopped - TURNS_BAD_AT);
			}
			report.ratioAtMost("exposure", "answers after " + kind.text, sum / (ROLL_OUTS - early), "answers",
					"fixed canary", unguarded, 0.25);
		}
		Random random = new Random(seed);
		int wrong = 0;
		for (int i = 0; i < ROLL_OUTS; i++) {
			wrong += (stoppedAt(Kind.RATINGS_FALL, random, false) < ANSWERS) ? 1 : 0;
		}
		report.atMost("exposure", "good versions stopped", 100.0 * wrong / ROLL_OUTS, "%", 1);
	}

	/**
	 * Returns how many answers a version gave before it was halted.
	 */
	private static int stoppedAt(Kind kind, Random random, boolean turnsBad) {
		VersionGuard guard = new VersionGuard();
		int answer = 0;
		while (answer < ANSWERS && guard.haltedVersions(Fixture.NAME).isEmpty()) {
			boolean bad = turnsBad && answer >= TURNS_BAD_AT;
			boolean fails = random.nextDouble() < ((bad && kind == Kind.FAILURES) ? 0.5 : 0.01);
			guard.onAttemptEnd(Fixture.NAME, VERSION, fails);
			if (!fails && (guard.shouldRateClosely(Fixture.NAME, VERSION) || random.nextDouble() < 0.1)) {
				double part = (bad && kind == Kind.RATINGS_FALL) ? 0.3 : 0.9;
				double mean = (random.nextDouble() < part) ? 0.93 : 0.4;
				guard.onRating(Fixture.NAME, VERSION, 0.88, Math.clamp(mean + 0.05 * random.nextGaussian(), 0, 1));
			}
			answer++;
		}
		return answer;
	}

	private enum Kind {

		FAILURES("half its answers fail"),

		RATINGS_FALL("its ratings fall");

		private final String text;

		Kind(String text) {
			this.text = text;
		}

	}

}
