package org.gullsaddle.register;

import java.util.List;

/**
 * An action that a {@link RegisterShard} asks its caller to perform.
 */
public sealed interface RegisterAction {

	/**
	 * Read the shard's value.
	 */
	record Read() implements RegisterAction {
	}

	/**
	 * Write the shard's value by compare-and-swap.
	 *
	 * @param expectedRevision the revision it must have, 0 if it must not exist
	 * @param entries the entries to write
	 */
	record Write(long expectedRevision, List<Entry> entries) implements RegisterAction {
	}

	/**
	 * Answer an operation.
	 *
	 * @param id the operation
	 * @param entry the entry that its key has in the store, or null if it has none
	 */
	record Answer(long id, Entry entry) implements RegisterAction {
	}

	/**
	 * Answer an operation that could not be completed in time, or for which the shard has
	 * no capacity. An {@link Operation.Put} that may have taken effect is removed as soon
	 * as the store allows.
	 *
	 * @param id the operation
	 */
	record Unavailable(long id) implements RegisterAction {
	}

}
