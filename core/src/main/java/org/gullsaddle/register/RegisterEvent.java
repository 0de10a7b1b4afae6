package org.gullsaddle.register;

import java.util.List;

/**
 * Something that happened, for a {@link RegisterShard} to decide on.
 */
public sealed interface RegisterEvent {

	/**
	 * An operation was asked for.
	 *
	 * @param id names the operation in its answer
	 * @param operation the operation
	 * @param deadline when it must be answered, in milliseconds on the monotonic clock;
	 * {@link Long#MAX_VALUE} for one that is tried until it is done
	 */
	record Submitted(long id, Operation operation, long deadline) implements RegisterEvent {
	}

	/**
	 * The store gave the shard's value.
	 *
	 * @param revision the value's revision, 0 if it does not exist
	 * @param entries the entries in it
	 */
	record Loaded(long revision, List<Entry> entries) implements RegisterEvent {
	}

	/**
	 * The store could not be read.
	 */
	record ReadFailed() implements RegisterEvent {
	}

	/**
	 * The store took the write.
	 *
	 * @param revision the new revision
	 */
	record Written(long revision) implements RegisterEvent {
	}

	/**
	 * The store refused the write, as the value has another revision.
	 */
	record Conflicted() implements RegisterEvent {
	}

	/**
	 * The write's answer was lost, or said nothing certain; it may have taken effect, or
	 * may yet.
	 */
	record WriteUnknown() implements RegisterEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements RegisterEvent {
	}

}
