package org.gullsaddle.agent;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.ledger.AgentRecord;

/**
 * The lines of attempts that ran here and whose request's record is not known to be in
 * the store.
 * <p>
 * The entry answers the caller before its record is in the store, and may die in between;
 * the request would then be served and never billed. The agent holds the line since
 * before the answer's end left it, and writes it itself once the entry has had its time.
 * Both copies may then be written; bills count them once. Single-threaded.
 */
public final class HeldLines {

	private final long maxHoldMillis;

	private final Map<RequestId, List<Held>> lines = new LinkedHashMap<>();

	/**
	 * Makes a holder of no lines.
	 * @param patienceMillis how long an entry that is linked has, in milliseconds; one
	 * that is gone has a tenth of it
	 */
	public HeldLines(long patienceMillis) {
		this.maxHoldMillis = patienceMillis;
	}

	/**
	 * Holds a line.
	 * @param line the line
	 * @param now the time in milliseconds on the monotonic clock
	 */
	public void hold(AgentRecord line, long now) {
		this.lines.computeIfAbsent(line.line().attempt().request(), (id) -> new ArrayList<>()).add(new Held(line, now));
	}

	/**
	 * Lets go of the lines of requests whose record is in the store.
	 * @param requests the requests
	 */
	public void onRecorded(List<RequestId> requests) {
		requests.forEach(this.lines::remove);
	}

	/**
	 * Takes out the lines to write: those held for too long, and those of entries that
	 * are gone.
	 * @param now the time in milliseconds on the monotonic clock
	 * @param connected the entries that are linked
	 * @return the lines
	 */
	public List<AgentRecord> takeDue(long now, Set<NodeId> connected) {
		List<AgentRecord> due = new ArrayList<>();
		Iterator<List<Held>> each = this.lines.values().iterator();
		while (each.hasNext()) {
			List<Held> held = each.next();
			if (held.stream().anyMatch((one) -> isDue(one, now, connected))) {
				held.forEach((one) -> due.add(one.line()));
				each.remove();
			}
		}
		return due;
	}

	/**
	 * Takes out all lines.
	 * @return the lines
	 */
	public List<AgentRecord> takeAll() {
		List<AgentRecord> all = new ArrayList<>();
		this.lines.values().forEach((held) -> held.forEach((one) -> all.add(one.line())));
		this.lines.clear();
		return all;
	}

	/**
	 * Returns how many requests have lines held.
	 * @return the number
	 */
	public int requestCount() {
		return this.lines.size();
	}

	private boolean isDue(Held held, long now, Set<NodeId> connected) {
		long waited = now - held.sinceMillis();
		boolean gone = !connected.contains(held.line().entry());
		return waited > this.maxHoldMillis || (gone && waited > this.maxHoldMillis / 10);
	}

	private record Held(AgentRecord line, long sinceMillis) {
	}

}
