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
 * Shares each allowance out among the entries: every entry reads the one document, takes
 * what is free or gives up what others need more, and writes by compare-and-swap.
 * <p>
 * The sum of the shares in use never exceeds the allowance, with no clock agreed: a
 * holder counts its grant's end from before it asked, and shrinks its own use before it
 * writes; the others count a silent holder's end from when they first saw its last
 * renewal, which is later. Single-threaded.
 */
public final class GrantCoordinator {

	/** Kept by each entry even without demand, so that its first requests pass. */
	private static final double MIN_SHARE = 0.02;

	/** The part of a day's money that is handed out at once. */
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
	 * Makes a keeper.
	 * @param self this entry, under a name that no earlier run of it had
	 * @param ttlMillis how long a grant lasts without renewal, in milliseconds
	 * @param book where grants take effect
	 */
	public GrantCoordinator(NodeId self, long ttlMillis, AllowanceTable book) {
		this.self = Check.notNull(self, "self");
		this.allowances = Check.notNull(book, "book");
		Check.that(ttlMillis > 0, "ttlMillis must be positive");
		this.ttlMillis = ttlMillis;
	}

	/**
	 * Works out the document to write.
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
	 * Lets the proposed document take effect here, as the store has taken it.
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
	 * Forgets the proposed document, as the store did not take it or did not say.
	 * <p>
	 * If it was taken after all, the store counts more for this entry than it uses, which
	 * is safe; the next round sees it.
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
		List<Grant> present = grants.getOrDefault(key.toString(), List.of());
		Grant mine = present.stream().filter((grant) -> grant.entry().equals(this.self)).findFirst().orElse(null);
		List<Grant> others = liveGrants(key, withoutOwn(present), now);
		double wanted = this.allowances.measureWantedShare(key, elapsed);
		double target = targetShare(wanted, others);
		double free = Math.max(0, 1 - others.stream().mapToDouble(Grant::share).sum());
		double share = Math.min(target, free);
		double held = this.allowances.share(key, now);
		boolean due = mine == null || !(held > 0) || isRenewalDue(key, mine, now);
		if (!due && Math.abs(share - mine.share()) < MIN_SHARE_CHANGE
				&& Math.abs(wanted - mine.wanted()) < MIN_SHARE_CHANGE) {
			return false;
		}
		// Use less before telling: once the others read it, they take what is given up.
		this.allowances.reduceShare(key, share, now);
		this.renewal++;
		List<Grant> list = new ArrayList<>(others);
		list.add(new Grant(this.self, share, wanted, this.renewal));
		grants.put(key.toString(), List.copyOf(list));
		next.shares.put(key, share);
		return true;
	}

	private double targetShare(double wanted, List<Grant> others) {
		double othersWanted = others.stream().mapToDouble(Grant::wanted).sum();
		int entries = others.size() + 1;
		double spare = 1 - MIN_SHARE * entries;
		double all = wanted + othersWanted;
		if (all <= 1) {
			return Math.min(1, MIN_SHARE + spare * (wanted + (1 - all) / entries));
		}
		return MIN_SHARE + spare * wanted / all;
	}

	private boolean isRenewalDue(AllowanceKey key, Grant mine, long now) {
		ObservedRenewal seen = this.lastRenewals.get(new GrantKey(key, mine.entry()));
		if (seen == null || seen.renewal() != mine.renewal()) {
			this.lastRenewals.put(new GrantKey(key, mine.entry()), new ObservedRenewal(mine.renewal(), now));
			return false;
		}
		return now - seen.observedAt() > this.ttlMillis / RENEWALS_PER_TTL;
	}

	/**
	 * Leaves out the grants of entries that stopped renewing.
	 */
	private List<Grant> liveGrants(AllowanceKey key, List<Grant> others, long now) {
		List<Grant> alive = new ArrayList<>();
		for (Grant grant : others) {
			GrantKey name = new GrantKey(key, grant.entry());
			ObservedRenewal seen = this.lastRenewals.get(name);
			if (seen == null || seen.renewal() != grant.renewal()) {
				seen = new ObservedRenewal(grant.renewal(), now);
				this.lastRenewals.put(name, seen);
			}
			if (now - seen.observedAt() <= this.ttlMillis) {
				alive.add(grant);
			}
		}
		return alive;
	}

	private boolean reserveBudget(AllowanceKey key, TeamRule rule, Map<String, GrantDocument.Spending> spending,
			Proposal next) {
		long chunk = Math.max(1, rule.microDollarsPerDay() / BUDGET_CHUNKS_PER_DAY);
		GrantDocument.Spending present = spending.get(key.toString());
		long reserved = (present != null && present.day() == next.day) ? present.reservedMicros() : 0;
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
