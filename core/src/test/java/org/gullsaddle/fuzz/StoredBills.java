package org.gullsaddle.fuzz;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gullsaddle.ledger.Bills;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.Segment;

/**
 * Computes bills from the ledger segments in the store.
 */
final class StoredBills {

	private StoredBills() {
	}

	static Map<String, List<Long>> readBills(FaultyStore store) {
		List<LedgerEntry> all = new ArrayList<>();
		for (Object segment : store.valuesUnder("ledger/")) {
			((Segment) segment).rows().forEach((row) -> all.add(parseEntry(row.text())));
		}
		Map<String, List<Long>> bills = new HashMap<>();
		Bills.of(all)
			.byRequest()
			.values()
			.forEach((bill) -> bills.computeIfAbsent(bill.request().value(), (id) -> new ArrayList<>())
				.add(bill.costMicros()));
		return bills;
	}

	private static LedgerEntry parseEntry(String text) {
		try {
			return LedgerEntry.read(text);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
