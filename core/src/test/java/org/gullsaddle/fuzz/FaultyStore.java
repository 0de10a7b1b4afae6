package org.gullsaddle.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A store whose calls wait until a step decides their outcome: answered, failed, applied
 * with the answer lost, or applied only after the caller was told of a failure.
 */
final class FaultyStore {

	private final Map<String, Value> values = new HashMap<>();

	private final List<Call> calls = new ArrayList<>();

	private final List<Call> lateWrites = new ArrayList<>();

	private long revision;

	void read(String key, Consumer<Result> then) {
		this.calls.add(new Call(key, -1, null, then));
	}

	void write(String key, long expected, Object content, Consumer<Result> then) {
		this.calls.add(new Call(key, expected, content, then));
	}

	int waitingCalls() {
		return this.calls.size();
	}

	/**
	 * Ends one waiting call. Outcomes 1, 3 and 5 fail it (not applied, applied, applied
	 * later); all others answer it, so that most calls succeed.
	 */
	void endCall(int pick, int outcome) {
		if (this.calls.isEmpty()) {
			return;
		}
		Call call = this.calls.remove(pick % this.calls.size());
		switch (outcome) {
			case 1 -> call.callback().accept(new Result.Failed());
			case 3 -> {
				apply(call);
				call.callback().accept(new Result.Failed());
			}
			case 5 -> {
				this.lateWrites.add(call);
				call.callback().accept(new Result.Failed());
			}
			default -> call.callback().accept(apply(call));
		}
	}

	/**
	 * Applies a write whose caller was told earlier that it failed.
	 */
	void applyLateWrite(int pick) {
		if (!this.lateWrites.isEmpty()) {
			apply(this.lateWrites.remove(pick % this.lateWrites.size()));
		}
	}

	/**
	 * Answers all waiting calls without a fault, also those of nodes that died.
	 */
	void answerAll() {
		while (!this.calls.isEmpty()) {
			endCall(0, 0);
		}
	}

	Object get(String key) {
		Value value = this.values.get(key);
		return (value != null) ? value.content() : null;
	}

	List<Object> valuesUnder(String prefix) {
		List<Object> found = new ArrayList<>();
		this.values.forEach((key, value) -> {
			if (key.startsWith(prefix)) {
				found.add(value.content());
			}
		});
		return found;
	}

	private Result apply(Call call) {
		Value present = this.values.get(call.key());
		long held = (present != null) ? present.revision() : 0;
		if (call.content() == null) {
			return new Result.Read(held, (present != null) ? present.content() : null);
		}
		if (held != call.expectedRevision()) {
			return new Result.Conflict();
		}
		this.revision++;
		this.values.put(call.key(), new Value(this.revision, call.content()));
		return new Result.Written(this.revision);
	}

	/**
	 * The outcome of a call.
	 */
	sealed interface Result {

		/**
		 * The value read.
		 */
		record Read(long revision, Object content) implements Result {
		}

		/**
		 * The write was applied.
		 */
		record Written(long revision) implements Result {
		}

		/**
		 * The write was rejected, as the stored revision is not the expected one.
		 */
		record Conflict() implements Result {
		}

		/**
		 * The outcome is unknown.
		 */
		record Failed() implements Result {
		}

	}

	private record Value(long revision, Object content) {
	}

	private record Call(String key, long expectedRevision, Object content, Consumer<Result> callback) {
	}

}
