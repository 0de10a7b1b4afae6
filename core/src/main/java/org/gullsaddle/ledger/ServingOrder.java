package org.gullsaddle.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.HybridClock;

/**
 * The order in which requests were served.
 * <p>
 * Timestamps of one writer come from one clock and give the true order. Those of two
 * writers come from two clocks: if they are closer together than the clocks may differ,
 * the order is marked as uncertain.
 */
public final class ServingOrder {

	private ServingOrder() {
	}

	/**
	 * Orders the requests that ran by when they were sent to the backend server that
	 * served them.
	 * @param records the records with their writers
	 * @param uncertaintyMillis how far two clocks may differ, in milliseconds
	 * @return the places, from the first served
	 */
	public static List<Place> of(Collection<WriterRecord> records, long uncertaintyMillis) {
		Check.that(uncertaintyMillis >= 0, "uncertaintyMillis must not be negative");
		List<Served> served = new ArrayList<>();
		for (WriterRecord each : records) {
			each.record()
				.attempts()
				.stream()
				.filter((attempt) -> attempt.verdict() == Verdict.RAN)
				.reduce((first, second) -> second)
				.ifPresent((attempt) -> served.add(new Served(each, attempt)));
		}
		served.sort(Comparator.comparingLong((each) -> each.attemptRecord().start()));
		List<Place> places = new ArrayList<>();
		Served previous = null;
		for (Served each : served) {
			places.add(new Place(places.size() + 1, each.writerRecord().record().request(),
					each.writerRecord().record().team(), each.attemptRecord().version(), each.attemptRecord().start(),
					each.writerRecord().writer(),
					previous == null || isOrderCertain(previous, each, uncertaintyMillis)));
			previous = each;
		}
		return places;
	}

	private static boolean isOrderCertain(Served previous, Served after, long uncertaintyMillis) {
		if (previous.writerRecord().writer().equals(after.writerRecord().writer())) {
			return true;
		}
		long differenceMillis = HybridClock.millis(after.attemptRecord().start())
				- HybridClock.millis(previous.attemptRecord().start());
		return differenceMillis > uncertaintyMillis;
	}

	/**
	 * A request's record and its writer.
	 *
	 * @param writer the writer
	 * @param record the record
	 */
	public record WriterRecord(String writer, RequestRecord record) {
	}

	/**
	 * A request's place in the order.
	 *
	 * @param number the place, from 1
	 * @param request the request
	 * @param team its team
	 * @param version the version that served it
	 * @param start when it was sent there, as a hybrid logical clock stamp
	 * @param writer the writer, whose clock that is
	 * @param certain whether it certainly came after the previous place
	 */
	public record Place(int number, RequestId request, TeamId team, ModelVersion version, long start, String writer,
			boolean certain) {
	}

	private record Served(WriterRecord writerRecord, AttemptRecord attemptRecord) {
	}

}
