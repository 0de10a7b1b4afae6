package org.gullsaddle.hold;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.Check;

/**
 * The memory in which a node holds what callers or replicas have yet to take, or to send
 * the rest of. Once it is spent, only who holds little is read on, until there is room
 * again. Confined to one thread.
 */
public final class BufferBudget {

	/**
	 * The part of the memory that is for what is held: the rest is what the process needs
	 * to run, and room for the collector.
	 */
	private static final int MEMORY_DIVISOR = 4;

	/** The part of the budget that one connection may take while others hold too. */
	private static final int CONNECTION_DIVISOR = 4;

	/** The part of the budget that must be free again after it was spent. */
	private static final int RESUME_DIVISOR = 8;

	private final long limitBytes;

	private final Set<BufferAccount> accounts = new LinkedHashSet<>();

	private long bufferedBytes;

	private boolean exhausted;

	/**
	 * Makes a budget.
	 * @param limit how many bytes may be held
	 */
	public BufferBudget(long limit) {
		Check.that(limit > 0, "limit must be positive");
		this.limitBytes = limit;
	}

	/**
	 * Makes a budget for a process.
	 * @param memoryBytes what the process may use in all, in bytes
	 * @return the budget, of a part of it
	 */
	public static BufferBudget ofMemory(long memoryBytes) {
		return new BufferBudget(memoryBytes / MEMORY_DIVISOR);
	}

	/**
	 * Adds a holder.
	 * @param id the request that it holds for
	 * @param paceMillis how long its other side may pause and still be on time, in
	 * milliseconds
	 * @return the holder, which holds nothing
	 */
	public BufferAccount openAccount(String id, long paceMillis) {
		BufferAccount holder = new BufferAccount(this, id, paceMillis);
		this.accounts.add(holder);
		return holder;
	}

	/**
	 * Returns how much may be held.
	 * @return the bytes
	 */
	public long limitBytes() {
		return this.limitBytes;
	}

	/**
	 * Returns how much is held.
	 * @return the bytes
	 */
	public long bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Says whether too much was held, and there is no room again since.
	 * @return true if a holder is to be given up
	 */
	public boolean isExhausted() {
		return this.exhausted;
	}

	/**
	 * Returns the holder to give up: of those that do not hold little, the one that would
	 * keep its bytes longest at the pace of its other side. One whose other side had no
	 * time yet to show its pace is not judged by it, unless the budget is overdrawn and
	 * there is no other.
	 * @param now the time in milliseconds
	 * @return the holder, empty while the budget is not spent, or nothing that is held
	 * waits for another side
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
	 * Says whether a holder has less than half of its part of the budget, if all that
	 * wait for another side had equal ones. The mean of what is held would not do: one
	 * large arrival raises it above all others.
	 */
	private boolean isSmall(BufferAccount holder) {
		long waiting = this.accounts.stream().filter(BufferAccount::isWaiting).count();
		return 2 * waiting * holder.bufferedBytes() < this.limitBytes;
	}

	boolean canRead(BufferAccount holder) {
		return this.exhausted ? isSmall(holder) : holder.bufferedBytes() < this.limitBytes / CONNECTION_DIVISOR;
	}

	void addBytes(long bytes) {
		this.bufferedBytes += bytes;
		this.exhausted = this.bufferedBytes >= (this.exhausted ? this.limitBytes - this.limitBytes / RESUME_DIVISOR
				: this.limitBytes);
	}

	void removeAccount(BufferAccount holder) {
		if (this.accounts.remove(holder)) {
			addBytes(-holder.bufferedBytes());
		}
	}

}
