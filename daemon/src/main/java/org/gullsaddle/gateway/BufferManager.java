package org.gullsaddle.gateway;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gullsaddle.hold.BufferAccount;
import org.gullsaddle.hold.BufferBudget;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Accounts for the bytes that this node buffers for callers and replicas, which may read
 * slowly or send without end. Confined to the event loop.
 */
final class BufferManager {

	private final BufferBudget budget;

	/**
	 * Whether replicas are paused as soon as a caller reads more slowly than they send.
	 */
	private final boolean pausesEarly;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Map<BufferAccount, Transfer> transfers = new LinkedHashMap<>();

	/**
	 * Creates a manager whose budget follows the settings. The bytes are on the heap,
	 * which may be smaller than the memory limit of the process.
	 */
	BufferManager(LoadSettings load, DecisionLog log, Telemetry telemetry) {
		long heapBytes = Runtime.getRuntime().maxMemory();
		this.budget = BufferBudget
			.ofMemory((load.memoryLimitBytes() > 0) ? Math.min(load.memoryLimitBytes(), heapBytes) : heapBytes);
		this.pausesEarly = load.pressure();
		this.log = log;
		this.telemetry = telemetry;
	}

	void registerGauges() {
		this.telemetry.gauge("held.bytes", this.budget::bufferedBytes);
		this.telemetry.gauge("paused.answers", this::countPaused);
	}

	/**
	 * Returns the memory that all transfers share.
	 */
	BufferBudget budget() {
		return this.budget;
	}

	/**
	 * Returns whether a replica is paused as soon as its answer's caller reads more
	 * slowly than it sends, and not only when memory is short.
	 */
	boolean pausesEarly() {
		return this.pausesEarly;
	}

	/**
	 * Returns whether the budget is exceeded, so that only transfers that hold little may
	 * read.
	 */
	boolean isExhausted() {
		return this.budget.isExhausted();
	}

	/**
	 * Creates the sink for an answer.
	 * @param onAbort aborts the answer
	 */
	AnswerSink newSink(ServedRequest request, Runnable onAbort) {
		return new FlowControlledSink(request, this, onAbort);
	}

	/**
	 * Registers a transfer.
	 * @param windowMillis how long the other side may pause and still be on time
	 */
	BufferAccount open(String id, long windowMillis, Transfer party) {
		BufferAccount account = this.budget.openAccount(id, windowMillis);
		this.transfers.put(account, party);
		return account;
	}

	void close(BufferAccount account) {
		this.transfers.remove(account);
		account.close();
	}

	/**
	 * Checks all transfers and aborts one if memory runs out; called several times a
	 * second.
	 */
	void check(long now) {
		if (this.transfers.isEmpty()) {
			return;
		}
		List.copyOf(this.transfers.values()).forEach((party) -> party.check(now));
		this.budget.findToAbort(now).ifPresent((account) -> abort(account, now));
	}

	/**
	 * Aborts the request body that holds the most of those that callers still send.
	 * @return whether there was one
	 */
	boolean abortLargestBody() {
		Optional<BufferAccount> largest = this.transfers.entrySet()
			.stream()
			.filter((each) -> each.getValue() instanceof RequestBodyReader body && body.isIncomplete())
			.map(Map.Entry::getKey)
			.max(Comparator.comparingLong(BufferAccount::bufferedBytes));
		largest.ifPresent((account) -> abort(account, MonotonicClock.millis()));
		return largest.isPresent();
	}

	private void abort(BufferAccount account, long now) {
		Transfer party = this.transfers.get(account);
		this.log.transferAborted(account, party.kind(), account.secondsToEmpty(now), this.budget.bufferedBytes());
		this.telemetry.count("given.up." + party.kind());
		close(account);
		party.abort();
	}

	/**
	 * Records that a paused answer is read ahead so that its replica does not abort it.
	 */
	void recordReadAhead(BufferAccount account, long pausedMillis) {
		this.log.answerReadAhead(account, pausedMillis);
		this.telemetry.count("read.on.answer");
	}

	private long countPaused() {
		return this.transfers.values().stream().filter(Transfer::isPaused).count();
	}

	/**
	 * Transfer of a request body or an answer whose bytes are buffered.
	 */
	sealed interface Transfer permits FlowControlledSink, RequestBodyReader {

		/**
		 * Checks all transfers and aborts one if memory runs out; called several times a
		 * second.
		 */
		void check(long now);

		/**
		 * Returns whether reading from a replica is paused.
		 */
		boolean isPaused();

		/**
		 * Returns the kind of the buffered bytes, for logs and metrics.
		 */
		String kind();

		/**
		 * Aborts the transfer because there is no memory left for it.
		 */
		void abort();

	}

}
