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
 * Holds copies of attempt records that agents sent, in case the attempt's entry and agent
 * are both lost, and writes them to the ledger when due; see {@link HeldLines}.
 * Thread-safe.
 */
final class HeldCopyTable {

	private static final long HOLD_MILLIS = 60_000;

	private final HeldLines heldLines = new HeldLines(HOLD_MILLIS);

	private final LedgerController ledger;

	private final NodeClock clock;

	HeldCopyTable(LedgerController ledger, NodeClock clock) {
		this.ledger = ledger;
		this.clock = clock;
	}

	synchronized void hold(AgentRecord line) {
		this.heldLines.hold(line, this.clock.millis());
	}

	synchronized void onRecorded(List<RequestId> requests) {
		this.heldLines.onRecorded(requests);
	}

	synchronized void writeDue(Set<NodeId> connected) {
		write(this.heldLines.takeDue(this.clock.millis(), connected));
	}

	synchronized void writeAll() {
		write(this.heldLines.takeAll());
	}

	private void write(List<AgentRecord> due) {
		due.forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
	}

}
