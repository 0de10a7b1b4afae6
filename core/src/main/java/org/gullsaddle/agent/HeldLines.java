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
 * Holds the lines of attempts that ran here until the request's record is known to be
 * stored. Not thread-safe.
 * <p>
 * The entry answers the caller before its record is stored, and may fail in between. The
 * request would then be served and never billed. Therefore the agent holds the line
 * before it sends the end of the answer, and writes the line itself if the record is not
 * stored in time. Both copies may be written then; bills count them once.
 */
public final class HeldLines {

	private final long maxHoldMillis;

	private final Map<RequestId, List<Held>> lines = new LinkedHashMap<>();

	/**
	 * Creates an instance without lines.
	 * @param maxHoldMillis how long a connected entry has to store the record, in
	 * milliseconds; an entry that is not connected has a tenth of it
	 */
	public HeldLines(long maxHoldMillis) {
		this.maxHoldMillis = maxHoldMillis;
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
	 * Drops the lines of requests whose record is stored.
	 * @param requests the requests
	 */
	public void onRecorded(List<RequestId> requests) {
		requests.forEach(this.lines::remove);
	}

	/**
	 * Removes and returns the lines to write: those held for too long. The limit is
	 * shorter for entries that are not connected.
	 * @param now the time in milliseconds on the monotonic clock
	 * @param connected the connected entries
	 * @return the lines
	 */
	public List<AgentRecord> takeDue(long now, Set<NodeId> connected) {
		List<AgentRecord> due = new ArrayList<>();
		Iterator<List<Held>> iterator = this.lines.values().iterator();
		while (iterator.hasNext()) {
			List<Held> held = iterator.next();
			if (held.stream().anyMatch((one) -> isDue(one, now, connected))) {
				held.forEach((one) -> due.add(one.line()));
				iterator.remove();
			}
		}
		return due;
	}

	/**
	 * Removes and returns all lines.
	 * @return the lines
	 */
	public List<AgentRecord> takeAll() {
		List<AgentRecord> all = new ArrayList<>();
		this.lines.values().forEach((held) -> held.forEach((one) -> all.add(one.line())));
		this.lines.clear();
		return all;
	}

	/**
	 * Returns the number of requests that have held lines.
	 * @return the number of requests
	 */
	public int requestCount() {
		return this.lines.size();
	}

	private boolean isDue(Held held, long now, Set<NodeId> connected) {
		long heldMillis = now - held.sinceMillis();
		boolean isDisconnected = !connected.contains(held.line().entry());
		return heldMillis > this.maxHoldMillis || (isDisconnected && heldMillis > this.maxHoldMillis / 10);
	}

	private record Held(AgentRecord line, long sinceMillis) {
	}

}
