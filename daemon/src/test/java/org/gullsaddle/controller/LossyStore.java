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
 * A store in memory that can lose the answer of its next write.
 */
final class LossyStore implements Store {

	private final Map<String, StoredValue> values = new TreeMap<>();

	private long revision;

	private Loss loss = Loss.NONE;

	private Runnable afterLoss = () -> {
	};

	/**
	 * Loses the next write, and then lets something else happen.
	 */
	void loseNextWrite(Loss next, Runnable then) {
		this.loss = next;
		this.afterLoss = then;
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
			Loss now = this.loss;
			this.loss = Loss.NONE;
			if (now == Loss.BEFORE_APPLY) {
				this.afterLoss.run();
				return Single.error(new StoreException("lost", true, null));
			}
			Optional<Long> result = apply(guard, expectedRevision, puts);
			if (now == Loss.AFTER_APPLY) {
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
		StoredValue present = this.values.get(guard);
		if (((present != null) ? present.revision() : 0) != expectedRevision) {
			return Optional.empty();
		}
		this.revision++;
		puts.forEach((put) -> this.values.put(put.key(), new StoredValue(put.key(), put.value(), this.revision)));
		return Optional.of(this.revision);
	}

	/**
	 * What becomes of a write whose answer is lost.
	 */
	enum Loss {

		NONE, BEFORE_APPLY, AFTER_APPLY

	}

}
