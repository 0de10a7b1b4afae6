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
 * Decides which notes on replicas' rate limits nodes write for each other: that a replica
 * has a new limit, a changed one, or none any more. Nodes that send a replica nothing get
 * no answers that say so. There is one note per replica; a node whose own answers differ
 * from the note replaces it. Where every node has a share of the limit, all nodes get
 * answers, and nothing is written. Confined to one thread.
 */
public final class LimitNoteExchange {

	/**
	 * How long an answer of the replica outweighs a note, in milliseconds: as long as
	 * notes may take to arrive.
	 */
	private static final long OBSERVATION_VALID_MILLIS = 2500;

	/**
	 * The time between the writes of successive nodes, in milliseconds: by then a node
	 * has mostly read the note of the one before it.
	 */
	private static final long WRITER_STEP_MILLIS = 1600;

	/**
	 * How long the first node waits before it writes, in milliseconds, so that quick
	 * changes are merged into one note.
	 */
	private static final long GATHER_MILLIS = 500;

	/** How many nodes write in a fixed order, before all others. */
	private static final int ORDERED_WRITERS = 3;

	/** The time over which the writes of the other nodes are spread, in milliseconds. */
	private static final long WRITE_SPREAD_MILLIS = 3000;

	/** The relative change of a limit from which on a new note is written. */
	private static final double MIN_CHANGE_RATIO = 0.25;

	private final BackpressureTable backpressure;

	private final RandomGenerator random;

	private final Map<ReplicaId, LimitNote> notes = new HashMap<>();

	private final Map<ReplicaId, Observation> observations = new HashMap<>();

	/** Replicas whose note in the store may differ from what this node wrote. */
	private final Set<ReplicaId> unconfirmed = new HashSet<>();

	/**
	 * Creates an exchange without notes.
	 * @param backpressure the table to which notes are applied
	 * @param random spreads the writes of nodes
	 */
	public LimitNoteExchange(BackpressureTable backpressure, RandomGenerator random) {
		this.backpressure = backpressure;
		this.random = random;
	}

	/**
	 * Handles the back-pressure of an answer.
	 * @param now the time in milliseconds
	 * @param replica the replica that answered
	 * @param asked the back-pressure
	 * @return when {@link #findNoteToWrite} must be called, in milliseconds from now, or
	 * empty if there is nothing to write
	 */
	public OptionalLong onAnswer(long now, Replica replica, Backpressure asked) {
		int position = this.backpressure.findNodePosition(now, replica).orElse(ORDERED_WRITERS);
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
				Math.min(position, this.backpressure.findNodePosition(now, replica).orElse(ORDERED_WRITERS))));
	}

	private long writeDelayMillis(int position) {
		long earliest = GATHER_MILLIS + Math.min(position, ORDERED_WRITERS) * WRITER_STEP_MILLIS;
		return (position < ORDERED_WRITERS) ? earliest : earliest + this.random.nextLong(WRITE_SPREAD_MILLIS);
	}

	/**
	 * Returns whether there is a note that a replica has a limit.
	 */
	private boolean hasLimitNote(Replica replica) {
		LimitNote note = this.notes.get(replica.id());
		return note != null && note.limited() && note.startedAt() == replica.startedAt();
	}

	/**
	 * Handles a note that was read.
	 * @param now the time in milliseconds
	 * @param id the replica
	 * @param note the note on it
	 * @param listed the replica's entry, or empty if it has none
	 * @return when {@link #onReplicaListed} must be called again for the replica, in
	 * milliseconds from now, or empty if that is not needed
	 */
	public OptionalLong onNote(long now, ReplicaId id, LimitNote note, Optional<Replica> listed) {
		this.notes.put(id, note);
		this.unconfirmed.remove(id);
		return listed.map((replica) -> applyNote(now, replica, note)).orElse(OptionalLong.empty());
	}

	/**
	 * Handles a replica's entry.
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
	 * Applies a note, unless the replica itself has just answered. A note that is still
	 * in the store when the answer's precedence ends is taken as confirmed by the nodes
	 * that get answers.
	 */
	private OptionalLong applyNote(long now, Replica replica, LimitNote note) {
		if (note.startedAt() != replica.startedAt()) {
			return OptionalLong.empty();
		}
		Observation known = this.observations.get(replica.id());
		if (known != null && known.replica.isSameProcess(replica)
				&& now - known.observedAt < OBSERVATION_VALID_MILLIS) {
			return OptionalLong.of(known.observedAt + OBSERVATION_VALID_MILLIS - now);
		}
		this.observations.remove(replica.id());
		this.backpressure.onAnswer(now, replica, Backpressure.ofLimit(note.toRateLimit()));
		return OptionalLong.empty();
	}

	/**
	 * Returns the note to write for the peers.
	 * @param id the replica
	 * @return the note, or empty if a peer has written it meanwhile
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
	 * Records that the write of a note may have failed.
	 * @param id the replica
	 */
	public void onWriteFailed(ReplicaId id) {
		this.unconfirmed.add(id);
	}

	/**
	 * Removes replicas that no longer exist.
	 * @param known the replicas to keep
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
		boolean hasNote = hasLimitNote(replica);
		if (!hasNote || limit.isEmpty()) {
			return hasNote || limit.isPresent();
		}
		LimitNote note = this.notes.get(replica.id());
		return Math.abs(limit.getAsDouble() - note.perSecond()) > MIN_CHANGE_RATIO * note.perSecond();
	}

	private record Observation(Replica replica, OptionalDouble limit, long observedAt) {
	}

}
