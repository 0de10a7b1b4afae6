package org.gullsaddle.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.template.TeamRule;

/**
 * Divides each allowance among the entries: every entry reads the shared document, takes
 * what is free or gives up what peers need more, and writes by compare-and-swap.
 * <p>
 * The sum of the shares in use never exceeds the allowance, without synchronized clocks:
 * an entry counts its grant's expiry from before its read, and reduces its own use before
 * it writes; its peers count the expiry from when they first saw its last renewal, which
 * is later. Single-threaded.
 */
public final class GrantCoordinator {

	/**
	 * The share that each entry keeps without demand, so that its first requests pass.
	 */
	private static final double MIN_SHARE = 0.02;

	/** A day's budget is reserved in this many chunks. */
	private static final int BUDGET_CHUNKS_PER_DAY = 50;

	private static final long RENEWALS_PER_TTL = 3;

	private static final double MIN_SHARE_CHANGE = 0.01;

	private final NodeId self;

	private final long ttlMillis;

	private final AllowanceTable allowances;

	private final Map<GrantKey, ObservedRenewal> lastRenewals = new HashMap<>();

	private long renewal;

	private long wantedAt;

	private Proposal proposal;

	/**
	 * Creates a coordinator.
	 * @param self this entry, under a name that no earlier run of it had
	 * @param ttlMillis how long a grant lasts without renewal, in milliseconds
	 * @param allowances the table in which grants take effect
	 */
	public GrantCoordinator(NodeId self, long ttlMillis, AllowanceTable allowances) {
		this.self = Check.notNull(self, "self");
		this.allowances = Check.notNull(allowances, "book");
		Check.that(ttlMillis > 0, "ttlMillis must be positive");
		this.ttlMillis = ttlMillis;
	}

	/**
	 * Decides on the document to write.
	 * @param document the document as read
	 * @param askedAt when the read was sent, in milliseconds on the monotonic clock
	 * @param now the time in milliseconds on the monotonic clock
	 * @param wallMillis the time in milliseconds since the epoch
	 * @return the document to write, or null if nothing needs to change
	 */
	public GrantDocument propose(GrantDocument document, long askedAt, long now, long wallMillis) {
		long today = AllowanceTable.day(wallMillis);
		long elapsed = now - this.wantedAt;
		this.wantedAt = now;
		Map<String, List<Grant>> grants = new LinkedHashMap<>(document.grants());
		Map<String, GrantDocument.Spending> spending = new LinkedHashMap<>(document.spending());
		Proposal next = new Proposal(askedAt + this.ttlMillis, today);
		boolean changed = false;
		for (Map.Entry<AllowanceKey, TeamRule> each : this.allowances.rules().entrySet()) {
			changed |= updateShare(each.getKey(), grants, next, elapsed, now);
			changed |= reserveBudget(each.getKey(), each.getValue(), spending, next);
		}
		this.proposal = changed ? next : null;
		return changed ? new GrantDocument(grants, spending) : null;
	}

	/**
	 * Applies the proposed document here once the store has accepted it.
	 * @param now the time in milliseconds on the monotonic clock
	 */
	public void onAccepted(long now) {
		Proposal done = this.proposal;
		this.proposal = null;
		if (done == null) {
			return;
		}
		done.shares.forEach((key, share) -> this.allowances.grantShare(key, share, done.validUntil, now));
		done.budgets.forEach((key, micros) -> this.allowances.addBudget(key, done.day, micros));
	}

	/**
	 * Discards the proposed document, as the store rejected it or gave no definite
	 * answer.
	 * <p>
	 * If it was accepted after all, the store counts more for this entry than it uses,
	 * which is safe; the next proposal corrects that.
	 */
	public void onNotAccepted() {
		this.proposal = null;
	}

	/**
	 * Returns the document without this entry's grants, to write when it stops.
	 * @param document the document as read
	 * @param now the time in milliseconds on the monotonic clock
	 * @return the document to write
	 */
	public GrantDocument releaseGrants(GrantDocument document, long now) {
		Map<String, List<Grant>> grants = new LinkedHashMap<>();
		document.grants().forEach((key, list) -> grants.put(key, withoutOwn(list)));
		this.allowances.rules().keySet().forEach((key) -> this.allowances.reduceShare(key, 0, now));
		return new GrantDocument(grants, document.spending());
	}

	private boolean updateShare(AllowanceKey key, Map<String, List<Grant>> grants, Proposal next, long elapsed,
			long now) {
		List<Grant> current = grants.getOrDefault(key.toString(), List.of());
		Grant own = current.stream().filter((grant) -> grant.entry().equals(this.self)).findFirst().orElse(null);
		List<Grant> peers = liveGrants(key, withoutOwn(current), now);
		double wanted = this.allowances.measureWantedShare(key, elapsed);
		double target = targetShare(wanted, peers);
		double free = Math.max(0, 1 - peers.stream().mapToDouble(Grant::share).sum());
		double share = Math.min(target, free);
		double usableShare = this.allowances.share(key, now);
		boolean due = own == null || !(usableShare > 0) || isRenewalDue(key, own, now);
		if (!due && Math.abs(share - own.share()) < MIN_SHARE_CHANGE
				&& Math.abs(wanted - own.wanted()) < MIN_SHARE_CHANGE) {
			return false;
		}
		// Reduce the use before writing: once peers read the document, they take what is
		// given up.
		this.allowances.reduceShare(key, share, now);
		this.renewal++;
		List<Grant> list = new ArrayList<>(peers);
		list.add(new Grant(this.self, share, wanted, this.renewal));
		grants.put(key.toString(), List.copyOf(list));
		next.shares.put(key, share);
		return true;
	}

	private double targetShare(double wanted, List<Grant> peers) {
		double peersWanted = peers.stream().mapToDouble(Grant::wanted).sum();
		int entries = peers.size() + 1;
		double spare = 1 - MIN_SHARE * entries;
		double all = wanted + peersWanted;
		if (all <= 1) {
			return Math.min(1, MIN_SHARE + spare * (wanted + (1 - all) / entries));
		}
		return MIN_SHARE + spare * wanted / all;
	}

	private boolean isRenewalDue(AllowanceKey key, Grant own, long now) {
		ObservedRenewal observed = this.lastRenewals.get(new GrantKey(key, own.entry()));
		if (observed == null || observed.renewal() != own.renewal()) {
			this.lastRenewals.put(new GrantKey(key, own.entry()), new ObservedRenewal(own.renewal(), now));
			return false;
		}
		return now - observed.observedAt() > this.ttlMillis / RENEWALS_PER_TTL;
	}

	/**
	 * Returns the grants of entries that still renew them.
	 */
	private List<Grant> liveGrants(AllowanceKey key, List<Grant> peers, long now) {
		List<Grant> alive = new ArrayList<>();
		for (Grant grant : peers) {
			GrantKey name = new GrantKey(key, grant.entry());
			ObservedRenewal observed = this.lastRenewals.get(name);
			if (observed == null || observed.renewal() != grant.renewal()) {
				observed = new ObservedRenewal(grant.renewal(), now);
				this.lastRenewals.put(name, observed);
			}
			if (now - observed.observedAt() <= this.ttlMillis) {
				alive.add(grant);
			}
		}
		return alive;
	}

	private boolean reserveBudget(AllowanceKey key, TeamRule rule, Map<String, GrantDocument.Spending> spending,
			Proposal next) {
		long chunk = Math.max(1, rule.microDollarsPerDay() / BUDGET_CHUNKS_PER_DAY);
		GrantDocument.Spending current = spending.get(key.toString());
		long reserved = (current != null && current.day() == next.day) ? current.reservedMicros() : 0;
		long micros = Math.min(chunk, rule.microDollarsPerDay() - reserved);
		if (micros <= 0 || !this.allowances.needsBudget(key, next.day, chunk)) {
			return false;
		}
		spending.put(key.toString(), new GrantDocument.Spending(next.day, reserved + micros));
		next.budgets.put(key, micros);
		return true;
	}

	private List<Grant> withoutOwn(List<Grant> list) {
		return list.stream().filter((grant) -> !grant.entry().equals(this.self)).toList();
	}

	private record GrantKey(AllowanceKey key, NodeId entry) {
	}

	private record ObservedRenewal(long renewal, long observedAt) {
	}

	private static final class Proposal {

		private final long validUntil;

		private final long day;

		private final Map<AllowanceKey, Double> shares = new LinkedHashMap<>();

		private final Map<AllowanceKey, Long> budgets = new LinkedHashMap<>();

		Proposal(long until, long day) {
			this.validUntil = until;
			this.day = day;
		}

	}

}
