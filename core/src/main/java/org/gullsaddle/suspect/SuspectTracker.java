package org.gullsaddle.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Fingerprint;

/**
 * Tracks the contents of requests that ran when a backend server crashed. Not
 * thread-safe.
 * <p>
 * A request that crashes every backend server that runs it would, if retried, take down
 * one after another. After its first crash a content is suspect and runs alone, so that a
 * second crash can only be its own and unrelated contents are cleared. After a crash
 * while running alone, or two crashes, it is blocked, however often it is sent. So one
 * content costs at most two backend servers, plus one for each further copy that was sent
 * before the first crash was known. Entries and agents both keep this evidence and report
 * it to each other, so that losing either does not reset the count.
 */
public final class SuspectTracker {

	private static final int MAX_REMEMBERED = 10_000;

	private final Map<Fingerprint, SuspectContent> contents = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, SuspectContent> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	/**
	 * Returns whether a request must run alone.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran
	 */
	public boolean isSuspect(Fingerprint fingerprint) {
		return this.contents.containsKey(fingerprint);
	}

	/**
	 * Returns whether a request must not run at all.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran alone, or two crashed
	 */
	public boolean isBlocked(Fingerprint fingerprint) {
		SuspectContent content = this.contents.get(fingerprint);
		return content != null && content.shouldBlock();
	}

	/**
	 * Handles a crash.
	 * @param fingerprint the team and content that ran
	 * @param attempt the attempt
	 * @param alone whether nothing else ran
	 * @return the evidence so far, to report to other nodes
	 */
	public SuspectContent onCrash(Fingerprint fingerprint, AttemptId attempt, boolean alone) {
		merge(new SuspectContent(fingerprint, Set.of(attempt), alone));
		return this.contents.get(fingerprint);
	}

	/**
	 * Merges another node's evidence. A crash that is reported twice counts once.
	 * @param content the evidence
	 * @return true if any of it was new
	 */
	public boolean merge(SuspectContent content) {
		SuspectContent before = this.contents.get(content.fingerprint());
		SuspectContent after = this.contents.merge(content.fingerprint(), content, SuspectTracker::join);
		return !after.equals(before);
	}

	/**
	 * Clears a content that ran alone to its end, so it did not cause the crash.
	 * @param fingerprint its team and content
	 */
	public void clear(Fingerprint fingerprint) {
		this.contents.remove(fingerprint);
	}

	/**
	 * Returns all evidence, to report to a node that starts.
	 * @return the suspect and blocked contents
	 */
	public List<SuspectContent> suspects() {
		return List.copyOf(this.contents.values());
	}

	private static SuspectContent join(SuspectContent one, SuspectContent two) {
		Set<AttemptId> crashes = new HashSet<>(one.crashes());
		crashes.addAll(two.crashes());
		return new SuspectContent(one.fingerprint(), crashes, one.alone() || two.alone());
	}

}
