package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Decides what nodes tell each other of rate limits: that a replica names one, another
 * one, or none any more. Nodes that send nothing there hear it from no answer. There is
 * one note for each replica; who heard something else from the replica itself writes it
 * anew. Where every node has a share of the limit, all hear it themselves, and nothing is
 * written. Confined to one thread.
 */
public final class LimitNews {

	/**
	 * How long what a replica said itself counts for more than a note, in milliseconds:
	 * as long as notes may be on their way.
	 */
	private static final long FRESH_MILLIS = 2500;

	/**
	 * How much later than the node before it a node writes, in milliseconds: by then it
	 * has mostly read what that one wrote.
	 */
	private static final long STEP_MILLIS = 1600;

	/** When the first node writes, in milliseconds, so that few changes are one note. */
	private static final long GATHER_MILLIS = 500;

	/** How many nodes write one after the other, before all others. */
	private static final int FIRST_WRITERS = 3;

	/** The time over which the other nodes spread what they write, in milliseconds. */
	private static final long SPREAD_MILLIS = 3000;

	/** The part by which a limit must change to be told. */
	private static final double TOLD_CHANGE = 0.25;

	private final BackpressureBook book;

	private final RandomGenerator random;

	private final Map<ReplicaId, LimitNote> notes = new HashMap<>();

	private final Map<ReplicaId, FirstHand> firstHand = new HashMap<>();

	/** Replicas whose notes may not be as this node wrote them. */
	private final Set<ReplicaId> unsure = new HashSet<>();

	/**
	 * Makes it.
	 * @param book learns what is told
	 * @param random spreads out when nodes write
	 */
	public LimitNews(BackpressureBook book, RandomGenerator random) {
		this.book = book;
		this.random = random;
	}

	/**
	 * Takes in what an answer says.
	 * @param now the time in milliseconds
	 * @param replica the replica that answered
	 * @param asked what it asks for
	 * @return when {@link #toTell} is to be asked, in milliseconds from now, or empty if
	 * there is nothing to tell
	 */
	public OptionalLong heard(long now, Replica replica, Backpressure asked) {
		int rank = this.book.rank(now, replica).orElse(FIRST_WRITERS);
		this.book.heard(now, replica, asked);
		OptionalDouble limit = this.book.limit(replica);
		if (asked.limit() instanceof RateLimit.Unreadable) {
			return OptionalLong.empty();
		}
		if (limit.isEmpty() && !this.notes.containsKey(replica.id())) {
			this.firstHand.remove(replica.id());
			return OptionalLong.empty();
		}
		this.firstHand.put(replica.id(), new FirstHand(replica, limit, now));
		if (!isNews(replica, limit) || (!stands(replica) && this.book.sharedByAll(now, replica))) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(delay(Math.min(rank, this.book.rank(now, replica).orElse(FIRST_WRITERS))));
	}

	private long delay(int rank) {
		long earliest = GATHER_MILLIS + Math.min(rank, FIRST_WRITERS) * STEP_MILLIS;
		return (rank < FIRST_WRITERS) ? earliest : earliest + this.random.nextLong(SPREAD_MILLIS);
	}

	/**
	 * Says whether there is a note by which a replica is limited.
	 */
	private boolean stands(Replica replica) {
		LimitNote note = this.notes.get(replica.id());
		return note != null && note.limited() && note.startedAt() == replica.startedAt();
	}

	/**
	 * Takes in a note.
	 * @param now the time in milliseconds
	 * @param id the replica
	 * @param note what is told of it
	 * @param listed the replica as it is listed, or empty if it is not
	 * @return when {@link #listed} is to be told of the replica again, in milliseconds
	 * from now, or empty if it need not be
	 */
	public OptionalLong learned(long now, ReplicaId id, LimitNote note, Optional<Replica> listed) {
		this.notes.put(id, note);
		this.unsure.remove(id);
		return listed.map((replica) -> apply(now, replica, note)).orElse(OptionalLong.empty());
	}

	/**
	 * Takes in that a replica is listed.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void listed(long now, Replica replica) {
		LimitNote note = this.notes.get(replica.id());
		if (note != null) {
			apply(now, replica, note);
		}
	}

	/**
	 * Has a note count, unless the replica itself has just said something. If a note
	 * stands that long against it, nodes that hear the replica agree with the note.
	 */
	private OptionalLong apply(long now, Replica replica, LimitNote note) {
		if (note.startedAt() != replica.startedAt()) {
			return OptionalLong.empty();
		}
		FirstHand known = this.firstHand.get(replica.id());
		if (known != null && known.replica.isSameProcess(replica) && now - known.at < FRESH_MILLIS) {
			return OptionalLong.of(known.at + FRESH_MILLIS - now);
		}
		this.firstHand.remove(replica.id());
		this.book.heard(now, replica, Backpressure.of(note.limit()));
		return OptionalLong.empty();
	}

	/**
	 * Returns what to write for the other nodes.
	 * @param id the replica
	 * @return the note, or empty if another node has written it meanwhile
	 */
	public Optional<LimitNote> toTell(ReplicaId id) {
		FirstHand known = this.firstHand.get(id);
		if (known == null || !isNews(known.replica, known.limit)) {
			return Optional.empty();
		}
		LimitNote note = new LimitNote(known.replica.startedAt(), known.limit.isPresent(), known.limit.orElse(0));
		this.notes.put(id, note);
		this.unsure.remove(id);
		return Optional.of(note);
	}

	/**
	 * Takes in that a note may not stand as it was written.
	 * @param id the replica
	 */
	public void notWritten(ReplicaId id) {
		this.unsure.add(id);
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.notes.keySet().retainAll(known);
		this.firstHand.keySet().retainAll(known);
		this.unsure.retainAll(known);
	}

	private boolean isNews(Replica replica, OptionalDouble limit) {
		if (this.unsure.contains(replica.id())) {
			return true;
		}
		boolean told = stands(replica);
		if (!told || limit.isEmpty()) {
			return told || limit.isPresent();
		}
		LimitNote note = this.notes.get(replica.id());
		return Math.abs(limit.getAsDouble() - note.perSecond()) > TOLD_CHANGE * note.perSecond();
	}

	private record FirstHand(Replica replica, OptionalDouble limit, long at) {
	}

}
