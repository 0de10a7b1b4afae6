package org.gullsaddle.hold;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.Check;

/**
 * The memory in which a node buffers data that callers or replicas have yet to take, or
 * to send the rest of. Once it is exhausted, only connections with small buffers are
 * read, until there is capacity again. Confined to one thread.
 */
public final class BufferBudget {

	/**
	 * The share of the process memory for buffers is one part in this many; the rest is
	 * for the process itself and the garbage collector.
	 */
	private static final int MEMORY_DIVISOR = 4;

	/** One connection may use one part in this many of the budget. */
	private static final int CONNECTION_DIVISOR = 4;

	/**
	 * One part in this many of the budget must be free before an exhausted budget is
	 * usable again.
	 */
	private static final int RESUME_DIVISOR = 8;

	private final long limitBytes;

	private final Set<BufferAccount> accounts = new LinkedHashSet<>();

	private long bufferedBytes;

	private boolean exhausted;

	/**
	 * Creates a budget.
	 * @param limitBytes how many bytes may be buffered
	 */
	public BufferBudget(long limitBytes) {
		Check.that(limitBytes > 0, "limitBytes must be positive");
		this.limitBytes = limitBytes;
	}

	/**
	 * Creates the budget of a process.
	 * @param memoryBytes the memory that the process may use in all, in bytes
	 * @return the budget, a quarter of it
	 */
	public static BufferBudget ofMemory(long memoryBytes) {
		return new BufferBudget(memoryBytes / MEMORY_DIVISOR);
	}

	/**
	 * Opens an account.
	 * @param id the request whose data is buffered
	 * @param windowMillis how long the other side may pause and still be on time, over
	 * which its transfer rate is measured, in milliseconds
	 * @return the account, with nothing buffered
	 */
	public BufferAccount openAccount(String id, long windowMillis) {
		BufferAccount account = new BufferAccount(this, id, windowMillis);
		this.accounts.add(account);
		return account;
	}

	/**
	 * Returns how much may be buffered.
	 * @return the bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * Returns how much is buffered.
	 * @return the bytes
	 */
	public long bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Returns whether the limit was reached and not enough is free again since.
	 * @return true if an account is to be aborted
	 */
	public boolean isExhausted() {
		return this.exhausted;
	}

	/**
	 * Returns the account to abort: of those that are not small, the one that would take
	 * longest to empty at the transfer rate of its other side. An account whose rate is
	 * not known yet is chosen only if the budget is overdrawn and there is no other.
	 * @param now the time in milliseconds
	 * @return the account, empty while the budget is not exhausted or no buffered data
	 * waits for the other side
	 */
	public Optional<BufferAccount> findToAbort(long now) {
		if (!this.exhausted) {
			return Optional.empty();
		}
		Collection<BufferAccount> large = this.accounts.stream()
			.filter((each) -> each.isWaiting() && !isSmall(each))
			.toList();
		boolean overdrawn = this.bufferedBytes >= this.limitBytes + this.limitBytes / CONNECTION_DIVISOR;
		return large.stream()
			.filter((each) -> each.isRateKnown(now))
			.max(bySecondsToEmpty(now))
			.or(() -> overdrawn ? large.stream().max(bySecondsToEmpty(now)) : Optional.empty());
	}

	private static Comparator<BufferAccount> bySecondsToEmpty(long now) {
		return Comparator.<BufferAccount>comparingDouble((each) -> each.secondsToEmpty(now))
			.thenComparingLong(BufferAccount::bufferedBytes);
	}

	/**
	 * Returns whether an account has less than half of an equal share of the budget among
	 * all accounts that wait for their other side. Comparing with the mean would not do,
	 * as one large arrival raises it above all others.
	 */
	private boolean isSmall(BufferAccount account) {
		long waiting = this.accounts.stream().filter(BufferAccount::isWaiting).count();
		return 2 * waiting * account.bufferedBytes() < this.limitBytes;
	}

	boolean canRead(BufferAccount account) {
		return this.exhausted ? isSmall(account) : account.bufferedBytes() < this.limitBytes / CONNECTION_DIVISOR;
	}

	void addBytes(long bytes) {
		this.bufferedBytes += bytes;
		this.exhausted = this.bufferedBytes >= (this.exhausted ? this.limitBytes - this.limitBytes / RESUME_DIVISOR
				: this.limitBytes);
	}

	void removeAccount(BufferAccount account) {
		if (this.accounts.remove(account)) {
			addBytes(-account.bufferedBytes());
		}
	}

}
