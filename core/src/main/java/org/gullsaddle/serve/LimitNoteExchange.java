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
public final class LimitNoteExchange {

	/**
	 * How long what a replica said itself counts for more than a note, in milliseconds:
	 * as long as notes may be on their way.
	 */
	private static final long OBSERVATION_VALID_MILLIS = 2500;

	/**
	 * How much later than the node before it a node writes, in milliseconds: by then it
	 * has mostly read what that one wrote.
	 */
	private static final long WRITER_STEP_MILLIS = 1600;

	/** When the first node writes, in milliseconds, so that few changes are one note. */
	private static final long GATHER_MILLIS = 500;

	/** How many nodes write one after the other, before all others. */
	private static final int ORDERED_WRITERS = 3;

	/** The time over which the other nodes spread what they write, in milliseconds. */
	private static final long WRITE_SPREAD_MILLIS = 3000;

	/** The part by which a limit must change to be told. */
	private static final double MIN_CHANGE_RATIO = 0.25;

	private final BackpressureTable backpressure;

	private final RandomGenerator random;

	private final Map<ReplicaId, LimitNote> notes = new HashMap<>();

	private final Map<ReplicaId, Observation> observations = new HashMap<>();

	/** Replicas whose notes may not be as this node wrote them. */
	private final Set<ReplicaId> unconfirmed = new HashSet<>();

	/**
	 * Makes it.
	 * @param book learns what is told
	 * @param random spreads out when nodes write
	 */
	public LimitNoteExchange(BackpressureTable book, RandomGenerator random) {
		this.backpressure = book;
		this.random = random;
	}

	/**
	 * Takes in what an answer says.
	 * @param now the time in milliseconds
	 * @param replica the replica that answered
	 * @param asked what it asks for
	 * @return when {@link #findNoteToWrite} is to be asked, in milliseconds from now, or
	 * empty if there is nothing to tell
	 */
	public OptionalLong onAnswer(long now, Replica replica, Backpressure asked) {
		int rank = this.backpressure.findNodePosition(now, replica).orElse(ORDERED_WRITERS);
		this.backpressure.onAnswer(now, replica, asked);
		OptionalDouble limit = this.backpressure.limit(replica);
		if (asked.limit() instanceof RateLimit.Invalid) {
			return OptionalLong.empty();
		}
		if (limit.isEmpty() && !this.notes.containsKey(replica.id())) {
			this.observations.remove(replica.id());
			return OptionalLong.empty();
		}
		this.observations.put(replica.id(), new Observation(replica, limit, now));
		if (!differsFromNote(replica, limit)
				|| (!hasLimitNote(replica) && this.backpressure.isSharedByAllNodes(now, replica))) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(writeDelayMillis(
				Math.min(rank, this.backpressure.findNodePosition(now, replica).orElse(ORDERED_WRITERS))));
	}

	private long writeDelayMillis(int rank) {
		long earliest = GATHER_MILLIS + Math.min(rank, ORDERED_WRITERS) * WRITER_STEP_MILLIS;
		return (rank < ORDERED_WRITERS) ? earliest : earliest + this.random.nextLong(WRITE_SPREAD_MILLIS);
	}

	/**
	 * Says whether there is a note by which a replica is limited.
	 */
	private boolean hasLimitNote(Replica replica) {
		LimitNote note = this.notes.get(replica.id());
		return note != null && note.limited() && note.startedAt() == replica.startedAt();
	}

	/**
	 * Takes in a note.
	 * @param now the time in milliseconds
	 * @param id the replica
	 * @param note what is told of it
	 * @param listed the replica as it is listed, or empty if it is not
	 * @return when {@link #onReplicaListed} is to be told of the replica again, in
	 * milliseconds from now, or empty if it need not be
	 */
	public OptionalLong onNote(long now, ReplicaId id, LimitNote note, Optional<Replica> listed) {
		this.notes.put(id, note);
		this.unconfirmed.remove(id);
		return listed.map((replica) -> applyNote(now, replica, note)).orElse(OptionalLong.empty());
	}

	/**
	 * Takes in that a replica is listed.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onReplicaListed(long now, Replica replica) {
		LimitNote note = this.notes.get(replica.id());
		if (note != null) {
			applyNote(now, replica, note);
		}
	}

	/**
	 * Has a note count, unless the replica itself has just said something. If a note
	 * stands that long against it, nodes that hear the replica agree with the note.
	 */
	private OptionalLong applyNote(long now, Replica replica, LimitNote note) {
		if (note.startedAt() != replica.startedAt()) {
			return OptionalLong.empty();
		}
		Observation known = this.observations.get(replica.id());
		if (known != null && known.replica.sameProcess(replica) && now - known.observedAt < OBSERVATION_VALID_MILLIS) {
			return OptionalLong.of(known.observedAt + OBSERVATION_VALID_MILLIS - now);
		}
		this.observations.remove(replica.id());
		this.backpressure.onAnswer(now, replica, Backpressure.ofLimit(note.toRateLimit()));
		return OptionalLong.empty();
	}

	/**
	 * Returns what to write for the other nodes.
	 * @param id the replica
	 * @return the note, or empty if another node has written it meanwhile
	 */
	public Optional<LimitNote> findNoteToWrite(ReplicaId id) {
		Observation known = this.observations.get(id);
		if (known == null || !differsFromNote(known.replica, known.limit)) {
			return Optional.empty();
		}
		LimitNote note = new LimitNote(known.replica.startedAt(), known.limit.isPresent(), known.limit.orElse(0));
		this.notes.put(id, note);
		this.unconfirmed.remove(id);
		return Optional.of(note);
	}

	/**
	 * Takes in that a note may not stand as it was written.
	 * @param id the replica
	 */
	public void onWriteFailed(ReplicaId id) {
		this.unconfirmed.add(id);
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.notes.keySet().retainAll(known);
		this.observations.keySet().retainAll(known);
		this.unconfirmed.retainAll(known);
	}

	private boolean differsFromNote(Replica replica, OptionalDouble limit) {
		if (this.unconfirmed.contains(replica.id())) {
			return true;
		}
		boolean told = hasLimitNote(replica);
		if (!told || limit.isEmpty()) {
			return told || limit.isPresent();
		}
		LimitNote note = this.notes.get(replica.id());
		return Math.abs(limit.getAsDouble() - note.perSecond()) > MIN_CHANGE_RATIO * note.perSecond();
	}

	private record Observation(Replica replica, OptionalDouble limit, long observedAt) {
	}

}
