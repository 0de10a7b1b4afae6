package org.gullsaddle.gateway;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gullsaddle.hold.Holder;
import org.gullsaddle.hold.HoldingBudget;
import org.gullsaddle.telemetry.Telemetry;

/**
 * What this node holds for callers and replicas, in a deployment whose callers may read
 * slowly. Confined to the event loop.
 */
final class BufferManager {

	private final Optional<HoldingBudget> budget;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Map<Holder, Transfer> transfers = new LinkedHashMap<>();

	/**
	 * Makes what holds as the settings tell. The bytes lie in the heap, which may be less
	 * than the process may use.
	 */
	BufferManager(LoadSettings load, DecisionLog log, Telemetry telemetry) {
		this.budget = (load.pressure() && load.memoryLimitBytes() > 0)
				? Optional
					.of(HoldingBudget.ofMemory(Math.min(load.memoryLimitBytes(), Runtime.getRuntime().maxMemory())))
				: Optional.empty();
		this.log = log;
		this.telemetry = telemetry;
	}

	void registerGauges() {
		if (this.budget.isPresent()) {
			this.telemetry.gauge("held.bytes", () -> this.budget.get().held());
			this.telemetry.gauge("paused.answers", this::countPaused);
		}
	}

	boolean isEnabled() {
		return this.budget.isPresent();
	}

	/**
	 * Says whether more is held than may be, so that only who holds little is read on.
	 */
	boolean isExhausted() {
		return this.budget.map(HoldingBudget::spent).orElse(false);
	}

	/**
	 * Returns where an answer's bytes go.
	 * @param giveUp breaks the answer off
	 */
	AnswerSink newSink(ServedRequest request, Runnable giveUp) {
		return isEnabled() ? new FlowControlledSink(request, this, giveUp)
				: new AnswerSink.Direct(request.http().response());
	}

	/**
	 * Begins to hold.
	 * @param paceMillis how long the other side may pause and still be on time
	 */
	Holder open(String id, long paceMillis, Transfer party) {
		Holder holder = this.budget.orElseThrow().holder(id, paceMillis);
		this.transfers.put(holder, party);
		return holder;
	}

	void close(Holder holder) {
		this.transfers.remove(holder);
		holder.close();
	}

	/**
	 * Is called some times a second.
	 */
	void check(long now) {
		if (this.transfers.isEmpty()) {
			return;
		}
		List.copyOf(this.transfers.values()).forEach((party) -> party.check(now));
		this.budget.flatMap((each) -> each.toGiveUp(now)).ifPresent((holder) -> abort(holder, now));
	}

	private void abort(Holder holder, long now) {
		Transfer party = this.transfers.get(holder);
		this.log.transferAborted(holder, party.kind(), holder.secondsToEmpty(now), this.budget.orElseThrow().held());
		this.telemetry.count("given.up." + party.kind());
		close(holder);
		party.abort();
	}

	/**
	 * Notes that a replica whose answer was paused is read on, lest it cuts the answer
	 * off.
	 */
	void recordReadAhead(Holder holder, long pausedMillis) {
		this.log.answerReadAhead(holder, pausedMillis);
		this.telemetry.count("read.on.answer");
	}

	/**
	 * Says whether there are answers that are whole here, and whose callers have yet to
	 * read them.
	 */
	boolean isSending() {
		return this.transfers.values()
			.stream()
			.anyMatch((party) -> party instanceof FlowControlledSink flow && flow.isSending());
	}

	private long countPaused() {
		return this.transfers.values().stream().filter(Transfer::isPaused).count();
	}

	/**
	 * Whose bytes are held.
	 */
	sealed interface Transfer permits FlowControlledSink, RequestBodyReader {

		/**
		 * Is called some times a second.
		 */
		void check(long now);

		/**
		 * Says whether a replica is not read.
		 */
		boolean isPaused();

		/**
		 * Returns what is held, in a word.
		 */
		String kind();

		/**
		 * Ends what is held for, as there is no memory left for it.
		 */
		void abort();

	}

}
