package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Finds the requests that crash each replica that runs them. Confined to one thread.
 * <p>
 * Such a request comes again, here or at another node, and each copy takes down one more
 * replica with all that runs there. A broken connection alone says little; if the replica
 * is found dead soon after, what ran there is suspected. Many requests run on a replica,
 * so that one crash convicts none of them, and a whole answer clears a content: only one
 * that broke off at three crashes in a row is refused, for a while. Nodes tell each
 * other.
 */
public final class CrashWatch {

	/**
	 * How many replicas a content may cost. With two, a stream that is moved from one
	 * replica of a failing rack to another one would be convicted.
	 */
	private static final int CRASHES_TO_CONVICT = 3;

	/**
	 * How long after a broken connection a replica's death explains it, in milliseconds:
	 * an entry lapses after three heartbeats of 1.2 s, and that takes a second to tell.
	 */
	private static final long SAME_CRASH_MILLIS = 6000;

	/**
	 * How long a crash is remembered, in milliseconds. Callers who send the content again
	 * do so within some seconds; a content that was convicted by mistake is served after.
	 */
	private static final long MEMORY_MILLIS = 30_000;

	private static final int MAX_CONTENTS = 1000;

	private final Map<ReplicaId, List<Broken>> broken = new HashMap<>();

	private final Map<Fingerprint, Map<ReplicaId, Long>> crashes = new LinkedHashMap<>();

	/**
	 * Notes that an attempt broke off while its replica was at work.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param content the request's team and content
	 */
	public void broke(long now, Replica replica, Fingerprint content) {
		List<Broken> list = this.broken.computeIfAbsent(replica.id(), (id) -> new ArrayList<>());
		list.removeIf((each) -> now - each.at > SAME_CRASH_MILLIS);
		list.add(new Broken(replica, content, now));
	}

	/**
	 * Notes that a replica is dead: nothing listens there, its entry is gone, or another
	 * process has its id.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return the contents that are newly suspected, which others are to be told
	 */
	public List<Fingerprint> down(long now, ReplicaId replica) {
		List<Broken> list = this.broken.remove(replica);
		if (list == null) {
			return List.of();
		}
		return list.stream()
			.filter((each) -> now - each.at <= SAME_CRASH_MILLIS)
			.filter((each) -> suspect(each.content, replica, each.at))
			.map(Broken::content)
			.toList();
	}

	/**
	 * Notes a replica's entry, which may tell that another process has its id.
	 * @param now the time in milliseconds
	 * @param replica the entry
	 * @return the contents that are newly suspected, which others are to be told
	 */
	public List<Fingerprint> listed(long now, Replica replica) {
		List<Broken> list = this.broken.get(replica.id());
		boolean another = list != null && !list.get(0).replica.sameProcess(replica);
		return another ? down(now, replica.id()) : List.of();
	}

	/**
	 * Says whether any content is suspected.
	 * @return true if one is
	 */
	public boolean any() {
		return !this.crashes.isEmpty();
	}

	/**
	 * Notes that a content was answered whole: it crashes no replica.
	 * @param content the request's team and content
	 */
	public void answered(Fingerprint content) {
		this.crashes.remove(content);
	}

	/**
	 * Takes in what another node knows.
	 * @param now the time in milliseconds
	 * @param note what it told
	 */
	public void learn(long now, CrashNote note) {
		for (CrashNote.Crash crash : note.crashes()) {
			if (crash.ageMillis() >= 0 && crash.ageMillis() < MEMORY_MILLIS) {
				suspect(new Fingerprint(crash.content()), new ReplicaId(crash.replica()), now - crash.ageMillis());
			}
		}
	}

	/**
	 * Returns what is known, to tell other nodes.
	 * @param now the time in milliseconds
	 * @return the note
	 */
	public CrashNote note(long now) {
		forget(now);
		List<CrashNote.Crash> all = new ArrayList<>();
		this.crashes.forEach((content, replicas) -> replicas
			.forEach((replica, at) -> all.add(new CrashNote.Crash(content.value(), replica.value(), now - at))));
		return new CrashNote(all);
	}

	/**
	 * Returns how long a content is still refused.
	 * @param now the time in milliseconds
	 * @param content the request's team and content
	 * @return milliseconds, 0 if it may run
	 */
	public long refusedFor(long now, Fingerprint content) {
		forget(now);
		Map<ReplicaId, Long> replicas = this.crashes.get(content);
		if (replicas == null || replicas.size() < CRASHES_TO_CONVICT) {
			return 0;
		}
		long oldest = Collections.min(replicas.values());
		return Math.max(1, oldest + MEMORY_MILLIS - now);
	}

	private boolean suspect(Fingerprint content, ReplicaId replica, long at) {
		if (this.crashes.size() >= MAX_CONTENTS && !this.crashes.containsKey(content)) {
			Iterator<Fingerprint> eldest = this.crashes.keySet().iterator();
			eldest.next();
			eldest.remove();
		}
		return this.crashes.computeIfAbsent(content, (missing) -> new HashMap<>()).putIfAbsent(replica, at) == null;
	}

	private void forget(long now) {
		if (this.crashes.isEmpty()) {
			return;
		}
		this.crashes.values()
			.removeIf(
					(replicas) -> replicas.values().removeIf((at) -> now - at >= MEMORY_MILLIS) && replicas.isEmpty());
	}

	private record Broken(Replica replica, Fingerprint content, long at) {
	}

}
