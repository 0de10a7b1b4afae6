package org.gullsaddle.entry;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Measures an answer on its way to the caller.
 */
final class MeasuredAnswer implements CallerAnswer {

	private final CallerAnswer answer;

	private final Exchange exchange;

	private final EntryNode node;

	private final Telemetry telemetry;

	private long lastPart;

	MeasuredAnswer(CallerAnswer answer, Exchange exchange, EntryNode node) {
		this.answer = answer;
		this.exchange = exchange;
		this.node = node;
		this.telemetry = node.telemetry();
	}

	@Override
	public void deliver(ModelVersion version, String text, Runnable taken) {
		long now = this.node.clock().millis();
		if (this.lastPart == 0) {
			this.telemetry.first(this.exchange.template(), this.exchange.team(),
					now - this.exchange.arrival().millis());
		}
		else {
			this.telemetry.between(this.exchange.template(), this.exchange.team(), now - this.lastPart);
		}
		this.lastPart = now;
		this.answer.deliver(version, text, taken);
	}

	@Override
	public void complete(String servedBy, Completion completion, long costMicros) {
		ended("served");
		this.telemetry.served(this.exchange.template(), servedBy);
		this.answer.complete(servedBy, completion, costMicros);
	}

	@Override
	public void refuse(Refusal refusal) {
		ended(refusal.reason().toString());
		this.answer.refuse(refusal);
	}

	private void ended(String outcome) {
		this.telemetry.whole(this.exchange.template(), this.exchange.team(),
				this.node.clock().millis() - this.exchange.arrival().millis());
		this.telemetry.outcome(this.exchange.template(), this.exchange.team(), outcome);
	}

}
