package org.gullsaddle.suspect;

import java.util.Set;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Check;
import org.gullsaddle.base.Fingerprint;

/**
 * The crash evidence against a request's content.
 *
 * @param fingerprint the team and content
 * @param crashes the attempts with it that ran when a backend server crashed
 * @param alone whether one of them ran alone on its backend server
 */
public record SuspectContent(Fingerprint fingerprint, Set<AttemptId> crashes, boolean alone) {

	private static final int BLOCKING_CRASHES = 2;

	public SuspectContent {
		Check.notNull(fingerprint, "fingerprint");
		crashes = Set.copyOf(crashes);
		Check.that(!crashes.isEmpty(), "crashes must not be empty");
	}

	/**
	 * Returns whether the content must not run at all.
	 * @return true after a crash while it ran alone, or two crashes
	 */
	public boolean shouldBlock() {
		return this.alone || this.crashes.size() >= BLOCKING_CRASHES;
	}

}
