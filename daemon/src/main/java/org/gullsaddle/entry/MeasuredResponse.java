package org.gullsaddle.entry;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Records latency and outcome metrics of a response, and passes it on.
 */
final class MeasuredResponse implements CallerResponse {

	private final CallerResponse response;

	private final Exchange exchange;

	private final EntryNode node;

	private final Telemetry telemetry;

	private long lastPartMillis;

	MeasuredResponse(CallerResponse response, Exchange exchange, EntryNode node) {
		this.response = response;
		this.exchange = exchange;
		this.node = node;
		this.telemetry = node.telemetry();
	}

	@Override
	public void deliver(ModelVersion version, String text, Runnable taken) {
		long now = this.node.clock().millis();
		if (this.lastPartMillis == 0) {
			this.telemetry.first(this.exchange.template(), this.exchange.team(),
					now - this.exchange.arrival().millis());
		}
		else {
			this.telemetry.between(this.exchange.template(), this.exchange.team(), now - this.lastPartMillis);
		}
		this.lastPartMillis = now;
		this.response.deliver(version, text, taken);
	}

	@Override
	public void complete(String servedBy, Completion completion, long costMicros) {
		recordEnd("served");
		this.telemetry.served(this.exchange.template(), servedBy);
		this.response.complete(servedBy, completion, costMicros);
	}

	@Override
	public void refuse(Refusal refusal) {
		recordEnd(refusal.reason().toString());
		this.response.refuse(refusal);
	}

	private void recordEnd(String outcome) {
		this.telemetry.whole(this.exchange.template(), this.exchange.team(),
				this.node.clock().millis() - this.exchange.arrival().millis());
		this.telemetry.outcome(this.exchange.template(), this.exchange.team(), outcome);
	}

}
