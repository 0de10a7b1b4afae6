package org.gullsaddle.controller;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;

import com.dynatrace.hash4j.hashing.Hashing;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;

import org.gullsaddle.base.Json;
import org.gullsaddle.register.Entry;
import org.gullsaddle.register.Operation;
import org.gullsaddle.register.RegisterAction;
import org.gullsaddle.register.RegisterEvent;
import org.gullsaddle.register.RegisterShard;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.NodeClock;

/**
 * A register of entries by key, sharded over several values in the store. Thread-safe;
 * each shard has its own lock.
 */
public final class RegisterController {

	private static final int MAX_ENTRIES_PER_SHARD = 4000;

	private final Store store;

	private final NodeClock clock;

	private final List<Shard> shards = new ArrayList<>();

	private final AtomicLong lastId = new AtomicLong();

	/**
	 * Creates a register.
	 * @param store the store
	 * @param prefix the prefix of the keys of the register's values
	 * @param clock the node's clocks
	 * @param shards the number of shards; must be the same on every node
	 * @param retentionMillis how long an entry is kept after its last change, in
	 * milliseconds
	 */
	public RegisterController(Store store, String prefix, NodeClock clock, int shards, long retentionMillis) {
		this.store = store;
		this.clock = clock;
		for (int i = 0; i < shards; i++) {
			this.shards.add(new Shard(prefix + i, new RegisterShard(MAX_ENTRIES_PER_SHARD, retentionMillis)));
		}
	}

	/**
	 * Submits an operation.
	 * @param operation the operation
	 * @param timeoutMillis how long its answer may take, in milliseconds;
	 * {@link Long#MAX_VALUE} to retry without limit
	 * @return the entry of its key after the operation, or empty; an
	 * {@link RegisterUnavailableException} if it did not complete in time
	 */
	public Single<Optional<Entry>> submit(Operation operation, long timeoutMillis) {
		long id = this.lastId.incrementAndGet();
		long deadline = (timeoutMillis == Long.MAX_VALUE) ? Long.MAX_VALUE : this.clock.millis() + timeoutMillis;
		Shard shard = shard(operation.key());
		SingleSubject<Optional<Entry>> answer = SingleSubject.create();
		shard.handle(new RegisterEvent.Submitted(id, operation, deadline), id, answer);
		return answer;
	}

	/**
	 * Fails operations past their deadline and retries failed store calls.
	 */
	public void tick() {
		this.shards.forEach((shard) -> shard.handle(new RegisterEvent.Tick()));
	}

	private Shard shard(String key) {
		long hash = Hashing.komihash5_0().hashCharsToLong(key);
		return this.shards.get((int) Long.remainderUnsigned(hash, this.shards.size()));
	}

	/**
	 * One shard of the register, stored as a single value.
	 */
	private final class Shard {

		private final String key;

		private final RegisterShard state;

		private final Map<Long, SingleSubject<Optional<Entry>>> pendingAnswers = new HashMap<>();

		private final Queue<RegisterEvent> events = new ArrayDeque<>();

		private boolean handling;

		Shard(String key, RegisterShard state) {
			this.key = key;
			this.state = state;
		}

		void handle(RegisterEvent event, long id, SingleSubject<Optional<Entry>> answer) {
			synchronized (this) {
				this.pendingAnswers.put(id, answer);
			}
			handle(event);
		}

		void handle(RegisterEvent event) {
			List<Runnable> answers = new ArrayList<>();
			synchronized (this) {
				this.events.add(event);
				if (this.handling) {
					return;
				}
				this.handling = true;
				while (!this.events.isEmpty()) {
					long nowMillis = RegisterController.this.clock.millis();
					long wallMillis = RegisterController.this.clock.wallMillis();
					for (RegisterAction action : this.state.handle(nowMillis, wallMillis, this.events.poll())) {
						execute(action, answers);
					}
				}
				this.handling = false;
			}
			// Callbacks may submit again, so they run without the lock.
			answers.forEach(Runnable::run);
		}

		private void execute(RegisterAction action, List<Runnable> answers) {
			switch (action) {
				case RegisterAction.Read read -> read();
				case RegisterAction.Write write -> write(write);
				case RegisterAction.Answer answer -> {
					SingleSubject<Optional<Entry>> subject = this.pendingAnswers.remove(answer.id());
					answers.add(() -> subject.onSuccess(Optional.ofNullable(answer.entry())));
				}
				case RegisterAction.Unavailable unavailable -> {
					SingleSubject<Optional<Entry>> subject = this.pendingAnswers.remove(unavailable.id());
					answers.add(() -> subject.onError(new RegisterUnavailableException()));
				}
			}
		}

		private void read() {
			RegisterController.this.store.get(this.key)
				.map((found) -> found.isPresent() ? decode(found.get())
						: (RegisterEvent) new RegisterEvent.Loaded(0, List.of()))
				.onErrorReturnItem(new RegisterEvent.ReadFailed())
				.subscribe(this::handle);
		}

		private RegisterEvent decode(Store.StoredValue value) throws IOException {
			Entry[] entries = Json.read(value.value(), Entry[].class);
			return new RegisterEvent.Loaded(value.revision(), List.of(entries));
		}

		private void write(RegisterAction.Write write) {
			Store.Put put = new Store.Put(this.key, Json.write(write.entries()));
			RegisterController.this.store.write(this.key, write.expectedRevision(), List.of(put))
				.map((revision) -> revision.isPresent() ? (RegisterEvent) new RegisterEvent.Written(revision.get())
						: new RegisterEvent.Conflicted())
				.onErrorReturnItem(new RegisterEvent.WriteUnknown())
				.subscribe(this::handle);
		}

	}

}
