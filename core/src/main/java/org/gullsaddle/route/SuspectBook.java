package org.gullsaddle.route;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gullsaddle.base.Fingerprint;

/**
 * Remembers which requests ran when a backend server crashed.
 * <p>
 * A request that crashes each backend server that runs it would, sent again and again,
 * take down one after another. After a first crash a request runs alone, so that a second
 * crash can only be its own and bystanders are cleared; after that it is refused, however
 * often it is sent. So one content costs at most two backend servers, plus one for each
 * copy that was already running elsewhere at the first crash.
 */
final class SuspectBook {

	private static final int MAX_REMEMBERED = 10_000;

	private static final int SUSPECTED = 1;

	private static final int CONVICTED = 2;

	private final Map<Fingerprint, Integer> levels = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Integer> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	boolean suspected(Fingerprint fingerprint) {
		return this.levels.getOrDefault(fingerprint, 0) >= SUSPECTED;
	}

	boolean convicted(Fingerprint fingerprint) {
		return this.levels.getOrDefault(fingerprint, 0) >= CONVICTED;
	}

	/**
	 * Notes a crash and returns the level that the request is at now.
	 */
	int crashed(Fingerprint fingerprint, boolean alone) {
		return this.levels.merge(fingerprint, alone ? CONVICTED : SUSPECTED, Math::max);
	}

	void learn(Fingerprint fingerprint, int level) {
		this.levels.merge(fingerprint, Math.min(level, CONVICTED), Math::max);
	}

	/**
	 * A request that ran alone to its end did not cause the crash.
	 */
	void clear(Fingerprint fingerprint) {
		this.levels.remove(fingerprint);
	}

}
