package org.gullsaddle.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Detects records that were changed, dropped, moved or cut off in a ledger, without
 * trusting its storage.
 *
 * <pre>
 * List&lt;LedgerFlaw&gt; flaws = LedgerVerifier.verify(segments, heads);
 * </pre>
 */
public final class LedgerVerifier {

	private LedgerVerifier() {
	}

	/**
	 * Verifies segments.
	 * @param segments all segments of a period, in any order
	 * @param heads all heads
	 * @return the first flaw of each writer, empty if nothing was altered
	 */
	public static List<LedgerFlaw> verify(Collection<Segment> segments, Collection<LedgerHead> heads) {
		Map<String, List<Segment>> byWriter = new TreeMap<>();
		segments.forEach(
				(segment) -> byWriter.computeIfAbsent(segment.writer(), (writer) -> new ArrayList<>()).add(segment));
		Map<String, LedgerHead> headOf = new HashMap<>();
		heads.forEach((head) -> headOf.put(head.writer(), head));
		List<LedgerFlaw> flaws = new ArrayList<>();
		byWriter.forEach((writer, ownSegments) -> {
			ownSegments.sort(Comparator.comparingLong(Segment::sequence));
			LedgerFlaw flaw = checkChain(ownSegments);
			if (flaw == null) {
				flaw = checkHead(ownSegments.get(ownSegments.size() - 1), headOf.get(writer));
			}
			if (flaw != null) {
				flaws.add(flaw);
			}
		});
		return flaws;
	}

	private static LedgerFlaw checkChain(List<Segment> segments) {
		String hash = segments.get(0).previous();
		long expected = segments.get(0).sequence();
		for (Segment segment : segments) {
			if (segment.sequence() != expected) {
				return new LedgerFlaw(segment.writer(), expected, 0,
						"the segment is missing; the next one there is " + segment.sequence());
			}
			if (!segment.previous().equals(hash)) {
				return new LedgerFlaw(segment.writer(), segment.sequence(), 0,
						"the segment does not follow from the one before");
			}
			for (int row = 0; row < segment.rows().size(); row++) {
				Segment.Row each = segment.rows().get(row);
				hash = HashChain.next(hash, each.text());
				if (!each.hash().equals(hash)) {
					return new LedgerFlaw(segment.writer(), segment.sequence(), row + 1,
							"the record is not the one that was written here");
				}
			}
			expected++;
		}
		return null;
	}

	private static LedgerFlaw checkHead(Segment last, LedgerHead head) {
		if (head == null) {
			return new LedgerFlaw(last.writer(), last.sequence(), 0, "the writer's head is missing");
		}
		if (head.sequence() > last.sequence()) {
			return new LedgerFlaw(last.writer(), last.sequence() + 1, 0,
					"the writer's last segments are missing, to number " + head.sequence());
		}
		if (head.sequence() == last.sequence() && !head.hash().equals(last.head())) {
			return new LedgerFlaw(last.writer(), last.sequence(), last.rows().size(),
					"the last record is not the one that the writer's head names");
		}
		return null;
	}

}
