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
 * Who was served first.
 * <p>
 * Stamps of one writer follow one clock, and their order is the order of what happened.
 * Those of two writers come from two clocks: where they lie closer together than the
 * clocks may differ, the order cannot be told, and is said to be so.
 */
public final class ServingOrder {

	private ServingOrder() {
	}

	/**
	 * Orders the requests that ran by when they were sent to the backend server that
	 * served them.
	 * @param written the records with their writers
	 * @param uncertaintyMillis how far two clocks may differ, in milliseconds
	 * @return the places, first served first
	 */
	public static List<Place> of(Collection<WriterRecord> written, long uncertaintyMillis) {
		Check.that(uncertaintyMillis >= 0, "uncertaintyMillis must not be negative");
		List<Served> served = new ArrayList<>();
		for (WriterRecord each : written) {
			each.record()
				.attempts()
				.stream()
				.filter((line) -> line.verdict() == Verdict.RAN)
				.reduce((first, second) -> second)
				.ifPresent((line) -> served.add(new Served(each, line)));
		}
		served.sort(Comparator.comparingLong((each) -> each.line().start()));
		List<Place> places = new ArrayList<>();
		Served before = null;
		for (Served each : served) {
			places.add(new Place(places.size() + 1, each.written().record().request(), each.written().record().team(),
					each.line().version(), each.line().start(), each.written().writer(),
					before == null || isOrderCertain(before, each, uncertaintyMillis)));
			before = each;
		}
		return places;
	}

	private static boolean isOrderCertain(Served before, Served after, long uncertaintyMillis) {
		if (before.written().writer().equals(after.written().writer())) {
			return true;
		}
		long apart = HybridClock.millis(after.line().start()) - HybridClock.millis(before.line().start());
		return apart > uncertaintyMillis;
	}

	/**
	 * A request's record and who wrote it.
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
	 * @param writer whose clock that is
	 * @param certain whether it surely came after the place before
	 */
	public record Place(int number, RequestId request, TeamId team, ModelVersion version, long start, String writer,
			boolean certain) {
	}

	private record Served(WriterRecord written, AttemptRecord line) {
	}

}
