package org.gullsaddle.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Fingerprint;

/**
 * Remembers which requests ran when a backend server crashed. Not thread-safe.
 * <p>
 * A request that crashes each backend server that runs it would, sent again and again,
 * take down one after another. After a first crash a request runs alone, so that a second
 * crash can only be its own and bystanders are cleared; after a crash alone, or two
 * crashes, it is refused, however often it is sent. So one content costs at most two
 * backend servers, plus one for each further copy that was sent before the first crash
 * was heard of. Entries and agents both remember, and tell each other, so that the loss
 * of either does not start the count anew.
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
	 * Says whether a request must run alone.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran
	 */
	public boolean isSuspect(Fingerprint fingerprint) {
		return this.contents.containsKey(fingerprint);
	}

	/**
	 * Says whether a request must not run at all.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran alone, or two crashed
	 */
	public boolean isBlocked(Fingerprint fingerprint) {
		SuspectContent suspicion = this.contents.get(fingerprint);
		return suspicion != null && suspicion.shouldBlock();
	}

	/**
	 * Notes a crash.
	 * @param fingerprint the team and content that ran
	 * @param attempt the attempt
	 * @param alone whether nothing else ran
	 * @return what is known now, to tell others
	 */
	public SuspectContent onCrash(Fingerprint fingerprint, AttemptId attempt, boolean alone) {
		merge(new SuspectContent(fingerprint, Set.of(attempt), alone));
		return this.contents.get(fingerprint);
	}

	/**
	 * Takes in what another node knows. The same crash, heard of twice, counts once.
	 * @param suspicion what it knows
	 * @return true if any of it was new
	 */
	public boolean merge(SuspectContent suspicion) {
		SuspectContent before = this.contents.get(suspicion.fingerprint());
		SuspectContent after = this.contents.merge(suspicion.fingerprint(), suspicion, SuspectTracker::join);
		return !after.equals(before);
	}

	/**
	 * Clears a request that ran alone to its end; it did not cause the crash.
	 * @param fingerprint its team and content
	 */
	public void clear(Fingerprint fingerprint) {
		this.contents.remove(fingerprint);
	}

	/**
	 * Returns all that is remembered, to tell a node that starts.
	 * @return the suspicions
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
