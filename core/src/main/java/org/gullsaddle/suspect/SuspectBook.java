package org.gullsaddle.suspect;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gullsaddle.base.Fingerprint;

/**
 * Remembers which requests ran when a backend server crashed. Not thread-safe.
 * <p>
 * A request that crashes each backend server that runs it would, sent again and again,
 * take down one after another. After a first crash a request runs alone, so that a second
 * crash can only be its own and bystanders are cleared; after that it is refused, however
 * often it is sent. So one content costs at most two backend servers, plus one for each
 * copy that was already under way at the first crash. Entries and agents both remember,
 * and tell each other, so that the loss of either does not start the count anew.
 */
public final class SuspectBook {

	private static final int MAX_REMEMBERED = 10_000;

	private static final int SUSPECTED = 1;

	private static final int CONVICTED = 2;

	private final Map<Fingerprint, Integer> levels = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Integer> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	/**
	 * Says whether a request must run alone.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran
	 */
	public boolean suspected(Fingerprint fingerprint) {
		return this.levels.getOrDefault(fingerprint, 0) >= SUSPECTED;
	}

	/**
	 * Says whether a request must not run at all.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran alone
	 */
	public boolean convicted(Fingerprint fingerprint) {
		return this.levels.getOrDefault(fingerprint, 0) >= CONVICTED;
	}

	/**
	 * Notes a crash.
	 * @param fingerprint the team and content that ran
	 * @param alone whether nothing else ran
	 * @return how strong the suspicion is now, to tell others
	 */
	public int crashed(Fingerprint fingerprint, boolean alone) {
		return this.levels.merge(fingerprint, alone ? CONVICTED : SUSPECTED, Math::max);
	}

	/**
	 * Takes in what another node remembers.
	 * @param fingerprint the team and content
	 * @param level how strong the suspicion is there
	 */
	public void learn(Fingerprint fingerprint, int level) {
		this.levels.merge(fingerprint, Math.min(level, CONVICTED), Math::max);
	}

	/**
	 * Clears a request that ran alone to its end; it did not cause the crash.
	 * @param fingerprint its team and content
	 */
	public void clear(Fingerprint fingerprint) {
		this.levels.remove(fingerprint);
	}

	/**
	 * Returns all that is remembered, to tell a node that starts.
	 * @return how strong each suspicion is
	 */
	public Map<Fingerprint, Integer> all() {
		return Map.copyOf(this.levels);
	}

}
