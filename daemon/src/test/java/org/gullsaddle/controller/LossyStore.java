package org.gullsaddle.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.store.Store;
import org.gullsaddle.store.StoreException;

/**
 * An in-memory store that can lose its next write or the answer to it.
 */
final class LossyStore implements Store {

	private final Map<String, StoredValue> values = new TreeMap<>();

	private long revision;

	private Loss loss = Loss.NONE;

	private Runnable afterLoss = () -> {
	};

	/**
	 * Loses the next write or its answer, then runs an action.
	 */
	void loseNextWrite(Loss loss, Runnable action) {
		this.loss = loss;
		this.afterLoss = action;
	}

	@Override
	public Single<Optional<StoredValue>> get(String key) {
		return Single.fromCallable(() -> Optional.ofNullable(this.values.get(key)));
	}

	@Override
	public Single<Listing> list(String prefix, String after, int limit) {
		return Single.fromCallable(() -> new Listing(
				this.values.values().stream().filter((value) -> value.key().startsWith(prefix)).toList(), this.revision,
				false));
	}

	@Override
	public Single<Optional<Long>> write(String guard, long expectedRevision, List<Put> puts) {
		return Single.defer(() -> {
			Loss current = this.loss;
			this.loss = Loss.NONE;
			if (current == Loss.BEFORE_APPLY) {
				this.afterLoss.run();
				return Single.error(new StoreException("lost", true, null));
			}
			Optional<Long> result = apply(guard, expectedRevision, puts);
			if (current == Loss.AFTER_APPLY) {
				this.afterLoss.run();
				return Single.error(new StoreException("lost", true, null));
			}
			return Single.just(result);
		});
	}

	@Override
	public Flowable<StoredValue> watch(String prefix, long fromRevision) {
		return Flowable.never();
	}

	private Optional<Long> apply(String guard, long expectedRevision, List<Put> puts) {
		StoredValue stored = this.values.get(guard);
		if (((stored != null) ? stored.revision() : 0) != expectedRevision) {
			return Optional.empty();
		}
		this.revision++;
		puts.forEach((put) -> this.values.put(put.key(), new StoredValue(put.key(), put.value(), this.revision)));
		return Optional.of(this.revision);
	}

	/**
	 * Whether a write whose answer is lost fails before or after it is applied.
	 */
	enum Loss {

		NONE, BEFORE_APPLY, AFTER_APPLY

	}

}
