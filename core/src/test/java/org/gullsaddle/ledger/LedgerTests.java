package org.gullsaddle.ledger;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerTests {

	private static final TeamId TEAM = new TeamId("gold");

	private static final TemplateName TEMPLATE = new TemplateName("assistant");

	private static AttemptLine line(String request, int number, long cost) {
		return new AttemptLine(new AttemptId(new RequestId(request), number), ModelVersion.of("small@v1"),
				new NodeId("agent-1"), 1, Verdict.RAN, "done", new Usage(1, 2), cost, 1, 2);
	}

	private static LedgerEntry whole(String request, long cost) {
		return new LedgerEntry.Whole(new RequestRecord(new RequestId(request), TEAM, TEMPLATE, null, 1, "direct",
				List.of(line(request, 1, cost)), Verdict.RAN, "served", cost, 2));
	}

	private static LedgerEntry part(String request, int number, long cost) {
		return new LedgerEntry.Part(new HeldLine(new NodeId("entry-1"), TEAM, TEMPLATE, line(request, number, cost)));
	}

	@Nested
	class Writing {

		private final LedgerWriter writer = new LedgerWriter("entry-1.run", 3);

		@Test
		void segmentKeepsItsContentUntilItIsKnownToBeWritten() {
			this.writer.append(whole("r1", 5));
			Segment first = this.writer.next().orElseThrow();
			this.writer.append(whole("r2", 5));
			assertThat(this.writer.next()).contains(first);
			assertThat(this.writer.written()).containsExactly(new RequestId("r1"));
			Segment second = this.writer.next().orElseThrow();
			assertThat(second.sequence()).isEqualTo(2);
			assertThat(second.previous()).isEqualTo(first.head());
		}

		@Test
		void roomRunsOutWhileTheStoreIsDown() {
			for (int i = 0; i < 3; i++) {
				assertThat(this.writer.hasRoom()).isTrue();
				this.writer.append(whole("r" + i, 1));
			}
			assertThat(this.writer.hasRoom()).isFalse();
		}

		@Test
		void entriesAreReadAsTheyWereWritten() throws IOException {
			for (LedgerEntry entry : List.of(whole("r1", 5), part("r2", 1, 7))) {
				assertThat(LedgerEntry.read(entry.text())).isEqualTo(entry);
			}
		}

	}

	@Nested
	class Billing {

		@Test
		void recordAndHeldLinesOfARequestAreOneBill() {
			Bills bills = Bills.of(List.of(part("r1", 1, 5), whole("r1", 5), whole("r1", 5), part("r1", 1, 5)));
			assertThat(bills.all()).hasSize(1);
			assertThat(bills.byTeam()).containsEntry(TEAM, 5L);
		}

		/**
		 * The entry died before its record was written; its agents wrote the lines they
		 * held, one of them twice.
		 */
		@Test
		void linesAloneMakeABill() {
			Bills bills = Bills.of(List.of(part("r1", 1, 5), part("r1", 2, 40), part("r1", 2, 40)));
			assertThat(bills.byTeam()).containsEntry(TEAM, 45L);
		}

		@Test
		void requestWithoutEntriesHasNoBill() {
			assertThat(Optional.ofNullable(Bills.of(List.of()).all().get(new RequestId("r1")))).isEmpty();
		}

	}

}
