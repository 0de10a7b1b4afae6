package org.gullsaddle.entry;

import java.util.List;
import java.util.Set;

import org.gullsaddle.agent.HeldLines;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.controller.LedgerController;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.telemetry.NodeClock;

/**
 * Copies of lines of attempts that other entries sent, in case they and the agents are
 * lost; see {@link HeldLines}. Thread-safe.
 */
final class HeldCopies {

	private static final long HOLD_MILLIS = 60_000;

	private final HeldLines lines = new HeldLines(HOLD_MILLIS);

	private final LedgerController ledger;

	private final NodeClock clock;

	HeldCopies(LedgerController ledger, NodeClock clock) {
		this.ledger = ledger;
		this.clock = clock;
	}

	synchronized void hold(AgentRecord line) {
		this.lines.hold(line, this.clock.millis());
	}

	synchronized void recorded(List<RequestId> requests) {
		this.lines.onRecorded(requests);
	}

	synchronized void writeDue(Set<NodeId> connected) {
		write(this.lines.takeDue(this.clock.millis(), connected));
	}

	synchronized void writeAll() {
		write(this.lines.takeAll());
	}

	private void write(List<AgentRecord> due) {
		due.forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
	}

}
