package org.gullsaddle.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;

import org.junit.jupiter.api.BeforeEach;
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
import org.gullsaddle.clock.HybridClock;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerTests {

	private static final TeamId TEAM = new TeamId("gold");

	private static final TemplateName TEMPLATE = new TemplateName("assistant");

	private static AttemptRecord attemptRecord(String request, int number, long cost) {
		return new AttemptRecord(new AttemptId(new RequestId(request), number), ModelVersion.of("small@v1"),
				new NodeId("agent-1"), 1, Verdict.RAN, "done", new Usage(1, 2), cost, 1, 2);
	}

	private static LedgerEntry requestEntry(String request, long cost) {
		return new LedgerEntry.RequestEntry(new RequestRecord(new RequestId(request), TEAM, TEMPLATE, null, 1, "direct",
				List.of(attemptRecord(request, 1, cost)), Verdict.RAN, "served", cost, 2));
	}

	private static LedgerEntry attemptEntry(String request, int number, long cost) {
		return new LedgerEntry.AttemptEntry(
				new AgentRecord(new NodeId("entry-1"), TEAM, TEMPLATE, attemptRecord(request, number, cost)));
	}

	@Nested
	class Writing {

		private final LedgerWriter writer = new LedgerWriter("entry-1.run", 3);

		@Test
		void segmentKeepsItsContentUntilWritten() {
			this.writer.append(requestEntry("r1", 5));
			Segment first = this.writer.nextSegment().orElseThrow();
			this.writer.append(requestEntry("r2", 5));
			assertThat(this.writer.nextSegment()).contains(first);
			assertThat(this.writer.onWritten()).containsExactly(new RequestId("r1"));
			Segment second = this.writer.nextSegment().orElseThrow();
			assertThat(second.sequence()).isEqualTo(2);
			assertThat(second.previous()).isEqualTo(first.head());
		}

		@Test
		void capacityRunsOutWhileTheStoreIsDown() {
			for (int i = 0; i < 3; i++) {
				assertThat(this.writer.hasCapacity()).isTrue();
				this.writer.append(requestEntry("r" + i, 1));
			}
			assertThat(this.writer.hasCapacity()).isFalse();
		}

		@Test
		void entriesAreReadAsTheyWereWritten() throws IOException {
			for (LedgerEntry entry : List.of(requestEntry("r1", 5), attemptEntry("r2", 1, 7))) {
				assertThat(LedgerEntry.read(entry.text())).isEqualTo(entry);
			}
		}

	}

	@Nested
	class Tampering {

		private final List<Segment> segments = new ArrayList<>();

		private LedgerHead head;

		@BeforeEach
		void write() {
			LedgerWriter writer = new LedgerWriter("entry-1.run", 100);
			for (int segment = 0; segment < 3; segment++) {
				for (int i = 0; i < 3; i++) {
					writer.append(requestEntry("r" + segment + i, 5));
				}
				this.segments.add(writer.nextSegment().orElseThrow());
				writer.onWritten();
			}
			Segment last = this.segments.get(2);
			this.head = new LedgerHead(last.writer(), last.sequence(), last.head());
		}

		private void changeRows(int segment, UnaryOperator<List<Segment.Row>> change) {
			Segment old = this.segments.get(segment);
			List<Segment.Row> rows = change.apply(new ArrayList<>(old.rows()));
			this.segments.set(segment, new Segment(old.writer(), old.sequence(), old.previous(), rows));
		}

		private String flaw() {
			List<LedgerFlaw> flaws = LedgerVerifier.verify(this.segments, List.of(this.head));
			assertThat(flaws).hasSizeLessThanOrEqualTo(1);
			return flaws.isEmpty() ? "" : flaws.get(0).toString();
		}

		@Test
		void untouchedLedgerHasNoFlaw() {
			Collections.shuffle(this.segments, new Random(1));
			assertThat(flaw()).isEmpty();
		}

		@Test
		void changedRecordIsNamed() {
			changeRows(1, (rows) -> {
				Segment.Row row = rows.get(1);
				rows.set(1, new Segment.Row(row.text().replace(":5,", ":4,"), row.hash()));
				return rows;
			});
			assertThat(flaw()).startsWith("entry-1.run, segment 2, record 2: the record is not the one");
		}

		@Test
		void droppedRecordIsNamed() {
			changeRows(0, (rows) -> {
				rows.remove(1);
				return rows;
			});
			assertThat(flaw()).startsWith("entry-1.run, segment 1, record 2:");
		}

		@Test
		void swappedRecordsAreNamed() {
			changeRows(2, (rows) -> {
				Collections.swap(rows, 0, 1);
				return rows;
			});
			assertThat(flaw()).startsWith("entry-1.run, segment 3, record 1:");
		}

		@Test
		void cutOffRecordsAreFoundByTheHead() {
			changeRows(2, (rows) -> rows.subList(0, 2));
			assertThat(flaw()).startsWith("entry-1.run, segment 3, record 2: the last record is not the one");
		}

		@Test
		void missingSegmentIsNamed() {
			this.segments.remove(1);
			assertThat(flaw()).startsWith("entry-1.run, segment 2: the segment is missing");
		}

		@Test
		void missingEndIsFoundByTheHead() {
			this.segments.remove(2);
			assertThat(flaw()).startsWith("entry-1.run, segment 3: the writer's last segments are missing");
		}

		@Test
		void recordRewrittenWithItsChainIsFoundByTheNextSegment() {
			LedgerWriter forger = new LedgerWriter("entry-1.run", 100);
			forger.append(requestEntry("forged", 1));
			this.segments.set(0, forger.nextSegment().orElseThrow());
			assertThat(flaw()).startsWith("entry-1.run, segment 2: the segment does not follow");
		}

	}

	@Nested
	class Order {

		private static ServingOrder.WriterRecord served(String request, String writer, long millis) {
			AttemptRecord attempt = new AttemptRecord(new AttemptId(new RequestId(request), 1),
					ModelVersion.of("small@v1"), new NodeId("agent-1"), 1, Verdict.RAN, "done", Usage.NONE, 1,
					HybridClock.stamp(millis, 0), 0);
			return new ServingOrder.WriterRecord(writer, new RequestRecord(new RequestId(request), TEAM, TEMPLATE, null,
					1, "direct", List.of(attempt), Verdict.RAN, "served", 1, 2));
		}

		@Test
		void orderOfTwoClocksIsCertainOnlyBeyondTheirUncertainty() {
			List<ServingOrder.Place> places = ServingOrder.of(List.of(served("d", "two", 1030),
					served("a", "one", 1000), served("b", "one", 1001), served("c", "two", 1005)), 10);
			assertThat(places).extracting((place) -> place.request().value()).containsExactly("a", "b", "c", "d");
			assertThat(places).extracting(ServingOrder.Place::certain).containsExactly(true, true, false, true);
		}

	}

	@Nested
	class Billing {

		@Test
		void requestRecordAndAgentRecordsAreOneBill() {
			Bills bills = Bills.of(List.of(attemptEntry("r1", 1, 5), requestEntry("r1", 5), requestEntry("r1", 5),
					attemptEntry("r1", 1, 5)));
			assertThat(bills.byRequest()).hasSize(1);
			assertThat(bills.byTeam()).containsEntry(TEAM, 5L);
		}

		/**
		 * Guards against billing an attempt twice when the entry node is lost and an
		 * agent writes its record twice.
		 */
		@Test
		void agentRecordsAloneMakeABill() {
			Bills bills = Bills
				.of(List.of(attemptEntry("r1", 1, 5), attemptEntry("r1", 2, 40), attemptEntry("r1", 2, 40)));
			assertThat(bills.byTeam()).containsEntry(TEAM, 45L);
		}

		@Test
		void requestWithoutEntriesHasNoBill() {
			assertThat(Optional.ofNullable(Bills.of(List.of()).byRequest().get(new RequestId("r1")))).isEmpty();
		}

	}

}
