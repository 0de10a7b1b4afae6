package org.gullsaddle.register;

import java.util.List;

/**
 * An event that a {@link RegisterShard} handles.
 */
public sealed interface RegisterEvent {

	/**
	 * An operation was submitted.
	 *
	 * @param id identifies the operation in its answer
	 * @param operation the operation
	 * @param deadline when it must be answered, in milliseconds on the monotonic clock;
	 * {@link Long#MAX_VALUE} for one that is retried until it is done
	 */
	record Submitted(long id, Operation operation, long deadline) implements RegisterEvent {
	}

	/**
	 * The store returned the shard's value.
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
	 * The store accepted the write.
	 *
	 * @param revision the new revision
	 */
	record Written(long revision) implements RegisterEvent {
	}

	/**
	 * The store rejected the write, as the value has another revision.
	 */
	record Conflicted() implements RegisterEvent {
	}

	/**
	 * The write's answer was lost or inconclusive; the write may have taken effect, or
	 * may still do so.
	 */
	record WriteUnknown() implements RegisterEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements RegisterEvent {
	}

}
