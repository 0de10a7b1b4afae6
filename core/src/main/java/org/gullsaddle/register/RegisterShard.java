package org.gullsaddle.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.gullsaddle.base.Check;

/**
 * One value in the store that holds entries of a register. All operations that are
 * pending when a write starts go into that write, so that the store's write rate does not
 * limit the rate of operations.
 * <p>
 * The value's revision is the fencing token: of two nodes that write from the same
 * revision, the store accepts one, and the other reads again and finds what the first
 * put. No lease is needed, so a node that was paused past a lease cannot put a key twice.
 * Single-threaded.
 */
public final class RegisterShard {

	private static final long RETRY_MILLIS = 200;

	private static final int MAX_PENDING = 10_000;

	private final int maxEntries;

	private final long retentionMillis;

	private final Deque<Pending> pending = new ArrayDeque<>();

	private final List<RegisterAction> actions = new ArrayList<>();

	private List<Pending> batch = List.of();

	private Map<String, Entry> batchEntries = Map.of();

	private Map<String, Entry> entries;

	private long revision;

	private boolean storeCallPending;

	private long readCount;

	private long retryAt = Long.MIN_VALUE;

	/**
	 * Creates a shard whose value was not read yet.
	 * @param maxEntries how many entries it may hold; a further put is answered as
	 * unavailable
	 * @param retentionMillis how long an entry is kept after its last change, in
	 * milliseconds
	 */
	public RegisterShard(int maxEntries, long retentionMillis) {
		Check.that(maxEntries > 0, "maxEntries must be positive");
		Check.that(retentionMillis > 0, "retentionMillis must be positive");
		this.maxEntries = maxEntries;
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Handles an event.
	 * @param now the time in milliseconds on the monotonic clock
	 * @param wallMillis the time in milliseconds since the epoch
	 * @param event the event
	 * @return what to do, in order
	 */
	public List<RegisterAction> handle(long now, long wallMillis, RegisterEvent event) {
		switch (event) {
			case RegisterEvent.Submitted submitted -> onSubmitted(submitted);
			case RegisterEvent.Loaded loaded -> onRead(loaded);
			case RegisterEvent.ReadFailed failed -> onReadFailed(now);
			case RegisterEvent.Written written -> onWritten(written.revision());
			case RegisterEvent.Conflicted conflicted -> retryBatch();
			case RegisterEvent.WriteUnknown unknown -> retryBatch();
			case RegisterEvent.Tick tick -> expireDeadlines(now);
		}
		advance(now, wallMillis);
		List<RegisterAction> decided = List.copyOf(this.actions);
		this.actions.clear();
		return decided;
	}

	private void onSubmitted(RegisterEvent.Submitted event) {
		if (this.pending.size() >= MAX_PENDING) {
			this.actions.add(new RegisterAction.Unavailable(event.id()));
			return;
		}
		this.pending.add(new Pending(event.id(), event.operation(), event.deadline(), this.readCount, false));
	}

	private void onRead(RegisterEvent.Loaded event) {
		this.storeCallPending = false;
		this.readCount++;
		this.revision = event.revision();
		this.entries = new LinkedHashMap<>();
		for (Entry entry : event.entries()) {
			this.entries.put(entry.key(), entry);
		}
	}

	private void onReadFailed(long now) {
		this.storeCallPending = false;
		this.entries = null;
		this.retryAt = now + RETRY_MILLIS;
		// Callers that wait for an answer get it now; operations without a caller are
		// kept.
		abandon((waiting) -> waiting.deadline() != Long.MAX_VALUE);
	}

	private void onWritten(long newRevision) {
		this.storeCallPending = false;
		this.revision = newRevision;
		this.entries = this.batchEntries;
		for (Pending written : this.batch) {
			answer(written);
		}
		this.batch = List.of();
	}

	/**
	 * Reads before retrying the batch, as the value may have the batch's entries or
	 * another node's.
	 */
	private void retryBatch() {
		this.storeCallPending = false;
		this.entries = null;
		for (int i = this.batch.size() - 1; i >= 0; i--) {
			this.pending.addFirst(this.batch.get(i).withTried());
		}
		this.batch = List.of();
	}

	private void expireDeadlines(long now) {
		abandon((waiting) -> waiting.deadline() <= now);
	}

	private void abandon(Predicate<Pending> condition) {
		List<Pending> abandoned = this.pending.stream().filter(condition).toList();
		this.pending.removeAll(abandoned);
		for (Pending waiting : abandoned) {
			this.actions.add(new RegisterAction.Unavailable(waiting.id()));
			if (waiting.tried() && waiting.operation() instanceof Operation.Put put) {
				// The put of a lost answer may have taken effect. Its entry would keep
				// the key for a request that was reported as not run.
				this.pending.add(new Pending(Pending.NO_CALLER, new Operation.Remove(put.key(), put.nonce()),
						Long.MAX_VALUE, this.readCount, false));
			}
		}
	}

	private void advance(long now, long wallMillis) {
		if (this.storeCallPending || this.pending.isEmpty() || now < this.retryAt) {
			return;
		}
		if (this.entries == null || this.pending.stream().anyMatch(this::needsRead)) {
			this.storeCallPending = true;
			this.actions.add(new RegisterAction.Read());
			return;
		}
		Map<String, Entry> next = new LinkedHashMap<>(this.entries);
		next.values().removeIf((entry) -> entry.time() + this.retentionMillis < wallMillis);
		List<Pending> batched = new ArrayList<>();
		boolean changed = false;
		while (!this.pending.isEmpty()) {
			Pending each = this.pending.poll();
			if (applyOperation(next, each, wallMillis)) {
				changed = true;
				batched.add(each);
			}
			else if (each.operation() instanceof Operation.Put && !next.containsKey(each.operation().key())) {
				this.actions.add(new RegisterAction.Unavailable(each.id()));
			}
			else if (changed) {
				batched.add(each);
			}
			else {
				answer(each);
			}
		}
		if (changed) {
			this.storeCallPending = true;
			this.batch = batched;
			this.batchEntries = next;
			this.actions.add(new RegisterAction.Write(this.revision, List.copyOf(next.values())));
		}
	}

	/**
	 * Returns whether an operation would be answered with an entry that was read before
	 * the operation was submitted. Another node may have changed the entry since, for
	 * example by completing the claim.
	 */
	private boolean needsRead(Pending each) {
		boolean answersWithEntry = each.operation() instanceof Operation.Put
				|| each.operation() instanceof Operation.Replace;
		return answersWithEntry && this.entries.containsKey(each.operation().key())
				&& each.readCountAtSubmission() >= this.readCount;
	}

	private boolean applyOperation(Map<String, Entry> entries, Pending each, long wallMillis) {
		Entry current = entries.get(each.operation().key());
		return switch (each.operation()) {
			case Operation.Put put -> current == null && entries.size() < this.maxEntries
					&& put(entries, put.key(), put.nonce(), put.value(), wallMillis);
			case Operation.Replace replace -> (current == null || current.value().equals(replace.expected()))
					&& put(entries, replace.key(), replace.nonce(), replace.value(), wallMillis);
			case Operation.Update update ->
				current != null && current.nonce().equals(update.nonce()) && !current.value().equals(update.value())
						&& put(entries, update.key(), update.nonce(), update.value(), wallMillis);
			case Operation.Remove remove ->
				current != null && current.nonce().equals(remove.nonce()) && entries.remove(remove.key()) != null;
		};
	}

	private static boolean put(Map<String, Entry> entries, String key, String nonce, String value, long wallMillis) {
		entries.put(key, new Entry(key, nonce, value, wallMillis));
		return true;
	}

	private void answer(Pending each) {
		if (each.id() != Pending.NO_CALLER) {
			this.actions.add(new RegisterAction.Answer(each.id(), this.entries.get(each.operation().key())));
		}
	}

	/**
	 * An operation whose answer is pending.
	 *
	 * @param submittedAfterRead how many reads were done when it was submitted
	 * @param tried whether it was part of a write whose result is unknown
	 */
	private record Pending(long id, Operation operation, long deadline, long readCountAtSubmission, boolean tried) {

		static final long NO_CALLER = -1;

		Pending withTried() {
			return new Pending(this.id, this.operation, this.deadline, this.readCountAtSubmission, true);
		}

	}

}
