package org.gullsaddle.allowance;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.template.TeamRule;
import org.gullsaddle.template.Template;

/**
 * Limits requests to the share of each allowance that this entry was granted.
 * Thread-safe.
 */
public final class AllowanceTable {

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final long BUDGET_RETRY_AFTER_MILLIS = 60_000;

	private static final long DAY_MILLIS = 86_400_000;

	private final Map<AllowanceKey, Allowance> allowances = new LinkedHashMap<>();

	/**
	 * Returns the day to which a budget belongs.
	 * @param wallMillis the time in milliseconds since the epoch
	 * @return days since the epoch, in UTC
	 */
	public static long day(long wallMillis) {
		return Math.floorDiv(wallMillis, DAY_MILLIS);
	}

	/**
	 * Adds or updates the allowances of a template. Allowances of teams that it no longer
	 * lists stay for open requests.
	 * @param template the template
	 * @param now the time in milliseconds on the monotonic clock
	 */
	public synchronized void applyTemplate(Template template, long now) {
		template.teams().forEach((team, rule) -> {
			AllowanceKey key = new AllowanceKey(template.name(), team);
			this.allowances.computeIfAbsent(key, (missing) -> new Allowance(rule, now)).rule(rule);
		});
	}

	/**
	 * Reserves a request's part of its allowance.
	 * @param template its template
	 * @param team its team
	 * @param costMicros the most it can cost, in micro-dollars
	 * @param now the time in milliseconds on the monotonic clock
	 * @param wallMillis the time in milliseconds since the epoch
	 * @return the permit, or the refusal of a request that was not run
	 */
	public synchronized Result acquire(TemplateName template, TeamId team, long costMicros, long now, long wallMillis) {
		AllowanceKey key = new AllowanceKey(template, team);
		Allowance allowance = this.allowances.get(key);
		if (allowance == null) {
			return Result.refused(Refusal.notRun(RefusalReason.NO_TEMPLATE, 0));
		}
		return switch (allowance.acquire(now, day(wallMillis), costMicros)) {
			case NONE -> Result.granted(new Permit(key, day(wallMillis), costMicros));
			case NO_GRANT -> Result.refused(Refusal.notRun(RefusalReason.STORE_UNAVAILABLE, RETRY_AFTER_MILLIS));
			case RATE, CONCURRENCY -> Result.refused(Refusal.notRun(RefusalReason.ALLOWANCE, RETRY_AFTER_MILLIS));
			case BUDGET -> Result.refused(Refusal.notRun(RefusalReason.ALLOWANCE, BUDGET_RETRY_AFTER_MILLIS));
		};
	}

	/**
	 * Releases a request's permit.
	 * @param permit the permit
	 * @param costMicros what the request cost, in micro-dollars
	 */
	public synchronized void release(Permit permit, long costMicros) {
		this.allowances.get(permit.key()).release(permit.day(), permit.reservedMicros(), costMicros);
	}

	/**
	 * Returns the share of an allowance that this entry may use now.
	 * @param key the allowance
	 * @param now the time in milliseconds on the monotonic clock
	 * @return the share, 0 to 1
	 */
	public synchronized double share(AllowanceKey key, long now) {
		Allowance allowance = this.allowances.get(key);
		return (allowance != null) ? allowance.share(now) : 0;
	}

	synchronized Map<AllowanceKey, TeamRule> rules() {
		Map<AllowanceKey, TeamRule> rules = new LinkedHashMap<>();
		this.allowances.forEach((key, allowance) -> rules.put(key, allowance.rule()));
		return rules;
	}

	synchronized double measureWantedShare(AllowanceKey key, long elapsedMillis) {
		return this.allowances.get(key).measureWantedShare(elapsedMillis);
	}

	synchronized void reduceShare(AllowanceKey key, double share, long now) {
		this.allowances.get(key).reduceShare(share, now);
	}

	synchronized void grantShare(AllowanceKey key, double share, long until, long now) {
		this.allowances.get(key).grantShare(share, until, now);
	}

	synchronized boolean needsBudget(AllowanceKey key, long today, long chunk) {
		return this.allowances.get(key).needsBudget(today, chunk);
	}

	synchronized void addBudget(AllowanceKey key, long today, long micros) {
		this.allowances.get(key).addBudget(today, micros);
	}

	/**
	 * A permit, or the refusal in its place.
	 *
	 * @param permit the permit, or empty
	 * @param refusal the refusal, or empty
	 */
	public record Result(Optional<Permit> permit, Optional<Refusal> refusal) {

		static Result granted(Permit permit) {
			return new Result(Optional.of(permit), Optional.empty());
		}

		static Result refused(Refusal refusal) {
			return new Result(Optional.empty(), Optional.of(refusal));
		}

	}

}
