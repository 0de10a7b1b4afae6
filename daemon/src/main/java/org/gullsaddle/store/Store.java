package org.gullsaddle.store;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

/**
 * A key-value store with compare-and-swap and watches. Failures are
 * {@link StoreException}s.
 */
public interface Store {

	/**
	 * Reads a value.
	 * @param key the key
	 * @return the value, or empty if there is none
	 */
	Single<Optional<StoredValue>> get(String key);

	/**
	 * Reads the values under a prefix, in the order of their keys.
	 * @param prefix the start of the keys
	 * @param after only keys after this one, which starts with the prefix; empty for all
	 * @param limit how many at most
	 * @return the values and the store's revision that they were read at
	 */
	Single<Listing> list(String prefix, String after, int limit);

	/**
	 * Writes values together if one key has the revision expected.
	 * @param guard the key
	 * @param expectedRevision its revision, 0 if it must not exist
	 * @param puts what to write
	 * @return the new revision, or empty if the key had another revision and nothing was
	 * written
	 */
	Single<Optional<Long>> write(String guard, long expectedRevision, List<Put> puts);

	/**
	 * Watches the keys under a prefix until it fails or is cancelled.
	 * @param prefix the start of the keys
	 * @param fromRevision the first revision to tell of
	 * @return each change, deletions left out
	 */
	Flowable<StoredValue> watch(String prefix, long fromRevision);

	/**
	 * A value to write.
	 *
	 * @param key its key
	 * @param value the value, at most a megabyte in UTF-8
	 */
	record Put(String key, String value) {
	}

	/**
	 * A value in the store.
	 *
	 * @param key its key
	 * @param value the value
	 * @param revision the store's revision at its last change
	 */
	record StoredValue(String key, String value, long revision) {
	}

	/**
	 * Values read together.
	 *
	 * @param values the values
	 * @param revision the store's revision that they were read at
	 * @param more whether the limit cut some off
	 */
	record Listing(List<StoredValue> values, long revision, boolean more) {

		/**
		 * Copies the values.
		 */
		public Listing {
			values = List.copyOf(values);
		}

	}

}
