package org.gullsaddle.ledger;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Verdict;

/**
 * Computes one bill per request from ledger entries.
 * <p>
 * When an entry node is lost, its agents write the attempt records they hold; an entry
 * node that is only slow may write as well. So the request's own record is used whenever
 * there is one, and agents' records count once per attempt when there is none.
 */
public final class Bills {

	private static final Comparator<AttemptId> ORDER = Comparator.comparingInt(AttemptId::number);

	private final Map<RequestId, RequestRecord> requestRecords = new LinkedHashMap<>();

	private final Map<RequestId, Map<AttemptId, AgentRecord>> agentRecords = new LinkedHashMap<>();

	/**
	 * Computes the bills of some entries.
	 * @param entries the entries, in any order, any of them more than once
	 * @return the bills
	 */
	public static Bills of(Collection<LedgerEntry> entries) {
		Bills bills = new Bills();
		entries.forEach(bills::add);
		return bills;
	}

	/**
	 * Adds an entry.
	 * @param entry the entry
	 */
	public void add(LedgerEntry entry) {
		switch (entry) {
			case LedgerEntry.RequestEntry requestEntry ->
				this.requestRecords.putIfAbsent(requestEntry.request(), requestEntry.record());
			case LedgerEntry.AttemptEntry attemptEntry ->
				this.agentRecords.computeIfAbsent(attemptEntry.request(), (id) -> new TreeMap<>(ORDER))
					.putIfAbsent(attemptEntry.agentRecord().line().attempt(), attemptEntry.agentRecord());
		}
	}

	/**
	 * Returns one bill for each request.
	 * @return the bills by request
	 */
	public Map<RequestId, Bill> byRequest() {
		Map<RequestId, Bill> bills = new LinkedHashMap<>();
		this.requestRecords.forEach((id, record) -> bills.put(id, new Bill(id, record.team(), record.template(),
				record.costMicros(), record.verdict(), record.outcome())));
		this.agentRecords
			.forEach((id, records) -> bills.computeIfAbsent(id, (missing) -> fromAgentRecords(id, records)));
		return bills;
	}

	/**
	 * Returns what each team pays.
	 * @return micro-dollars by team
	 */
	public Map<TeamId, Long> byTeam() {
		Map<TeamId, Long> totals = new HashMap<>();
		byRequest().values().forEach((bill) -> totals.merge(bill.team(), bill.costMicros(), Long::sum));
		return new TreeMap<>(totals);
	}

	private static Bill fromAgentRecords(RequestId id, Map<AttemptId, AgentRecord> records) {
		AgentRecord first = records.values().iterator().next();
		long cost = records.values().stream().mapToLong((agentRecord) -> agentRecord.line().costMicros()).sum();
		Verdict verdict = records.values()
			.stream()
			.map((agentRecord) -> agentRecord.line().verdict())
			.reduce(Verdict.NOT_RUN, Verdict::combine);
		return new Bill(id, first.team(), first.template(), cost, verdict, "entry-lost");
	}

	/**
	 * What a request costs its team.
	 *
	 * @param request the request
	 * @param team the team
	 * @param template the template
	 * @param costMicros micro-dollars
	 * @param verdict whether it ran
	 * @param outcome how it ended
	 */
	public record Bill(RequestId request, TeamId team, TemplateName template, long costMicros, Verdict verdict,
			String outcome) {
	}

}
