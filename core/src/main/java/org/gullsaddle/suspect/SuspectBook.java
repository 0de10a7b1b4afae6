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
public final class SuspectBook {

	private static final int MAX_REMEMBERED = 10_000;

	private final Map<Fingerprint, Suspicion> suspicions = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Fingerprint, Suspicion> eldest) {
			return size() > MAX_REMEMBERED;
		}
	};

	/**
	 * Says whether a request must run alone.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran
	 */
	public boolean suspected(Fingerprint fingerprint) {
		return this.suspicions.containsKey(fingerprint);
	}

	/**
	 * Says whether a request must not run at all.
	 * @param fingerprint its team and content
	 * @return true if a backend server crashed while it ran alone, or two crashed
	 */
	public boolean convicted(Fingerprint fingerprint) {
		Suspicion suspicion = this.suspicions.get(fingerprint);
		return suspicion != null && suspicion.convicts();
	}

	/**
	 * Notes a crash.
	 * @param fingerprint the team and content that ran
	 * @param attempt the attempt
	 * @param alone whether nothing else ran
	 * @return what is known now, to tell others
	 */
	public Suspicion crashed(Fingerprint fingerprint, AttemptId attempt, boolean alone) {
		learn(new Suspicion(fingerprint, Set.of(attempt), alone));
		return this.suspicions.get(fingerprint);
	}

	/**
	 * Takes in what another node knows. The same crash, heard of twice, counts once.
	 * @param suspicion what it knows
	 * @return true if any of it was new
	 */
	public boolean learn(Suspicion suspicion) {
		Suspicion before = this.suspicions.get(suspicion.fingerprint());
		Suspicion after = this.suspicions.merge(suspicion.fingerprint(), suspicion, SuspectBook::join);
		return !after.equals(before);
	}

	/**
	 * Clears a request that ran alone to its end; it did not cause the crash.
	 * @param fingerprint its team and content
	 */
	public void clear(Fingerprint fingerprint) {
		this.suspicions.remove(fingerprint);
	}

	/**
	 * Returns all that is remembered, to tell a node that starts.
	 * @return the suspicions
	 */
	public List<Suspicion> all() {
		return List.copyOf(this.suspicions.values());
	}

	private static Suspicion join(Suspicion one, Suspicion two) {
		Set<AttemptId> crashes = new HashSet<>(one.crashes());
		crashes.addAll(two.crashes());
		return new Suspicion(one.fingerprint(), crashes, one.alone() || two.alone());
	}

}
