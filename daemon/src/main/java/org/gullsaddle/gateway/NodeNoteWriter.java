package org.gullsaddle.gateway;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.store.Store;

/**
 * Writes this node's note for its peers in the store, under a key of its own. Confined to
 * the event loop.
 * <p>
 * Each write names the revision that it replaces. After a lost answer, or an earlier
 * process of this node under the same key, that revision is unknown; it is reread, and
 * the note must be written again.
 */
final class NodeNoteWriter {

	private final Store store;

	private final String key;

	private long revision;

	private boolean busy;

	NodeNoteWriter(Store store, String key) {
		this.store = store;
		this.key = key;
	}

	/**
	 * Returns whether a write is in progress.
	 */
	boolean isBusy() {
		return this.busy;
	}

	/**
	 * Writes the note.
	 * @param value the new value
	 * @param dueAgain runs if the value may not have been written
	 */
	void write(String value, Runnable dueAgain) {
		this.busy = true;
		Single.defer(() -> this.store.write(this.key, this.revision, List.of(new Store.Put(this.key, value))))
			.subscribe((written) -> onWritten(written, dueAgain), (failure) -> refresh(dueAgain));
	}

	private void onWritten(Optional<Long> written, Runnable dueAgain) {
		if (written.isPresent()) {
			this.revision = written.get();
			this.busy = false;
		}
		else {
			refresh(dueAgain);
		}
	}

	private void refresh(Runnable dueAgain) {
		Single.defer(() -> this.store.get(this.key)).subscribe((value) -> {
			this.revision = value.map(Store.StoredValue::revision).orElse(0L);
			this.busy = false;
			dueAgain.run();
		}, (failure) -> {
			this.busy = false;
			dueAgain.run();
		});
	}

}
