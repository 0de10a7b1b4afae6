package org.gullsaddle.suspect;

import java.util.Set;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Check;
import org.gullsaddle.base.Fingerprint;

/**
 * What is known against a request's content.
 *
 * @param fingerprint the team and content
 * @param crashes attempts that ran when a backend server crashed
 * @param alone whether nothing else ran in one of them
 */
public record SuspectContent(Fingerprint fingerprint, Set<AttemptId> crashes, boolean alone) {

	private static final int BLOCKING_CRASHES = 2;

	public SuspectContent {
		Check.notNull(fingerprint, "fingerprint");
		crashes = Set.copyOf(crashes);
		Check.that(!crashes.isEmpty(), "crashes must not be empty");
	}

	/**
	 * Says whether the content must not run at all.
	 * @return true after a crash alone, or two crashes
	 */
	public boolean shouldBlock() {
		return this.alone || this.crashes.size() >= BLOCKING_CRASHES;
	}

}
