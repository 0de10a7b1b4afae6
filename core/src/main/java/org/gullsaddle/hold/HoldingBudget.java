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
public final class HoldingBudget {

	/**
	 * The part of the memory that is for what is held: the rest is what the process needs
	 * to run, and room for the collector.
	 */
	private static final int MEMORY_PARTS = 4;

	/** The part of the budget that one connection may take while others hold too. */
	private static final int CONNECTION_PARTS = 4;

	/** The part of the budget that must be free again after it was spent. */
	private static final int ROOM_PARTS = 8;

	private final long limit;

	private final Set<Holder> holders = new LinkedHashSet<>();

	private long held;

	private boolean spent;

	/**
	 * Makes a budget.
	 * @param limit how many bytes may be held
	 */
	public HoldingBudget(long limit) {
		Check.that(limit > 0, "limit must be positive");
		this.limit = limit;
	}

	/**
	 * Makes a budget for a process.
	 * @param memoryBytes what the process may use in all, in bytes
	 * @return the budget, of a part of it
	 */
	public static HoldingBudget ofMemory(long memoryBytes) {
		return new HoldingBudget(memoryBytes / MEMORY_PARTS);
	}

	/**
	 * Adds a holder.
	 * @param id the request that it holds for
	 * @param paceMillis how long its other side may pause and still be on time, in
	 * milliseconds
	 * @return the holder, which holds nothing
	 */
	public Holder holder(String id, long paceMillis) {
		Holder holder = new Holder(this, id, paceMillis);
		this.holders.add(holder);
		return holder;
	}

	/**
	 * Returns how much may be held.
	 * @return the bytes
	 */
	public long limit() {
		return this.limit;
	}

	/**
	 * Returns how much is held.
	 * @return the bytes
	 */
	public long held() {
		return this.held;
	}

	/**
	 * Says whether too much was held, and there is no room again since.
	 * @return true if a holder is to be given up
	 */
	public boolean spent() {
		return this.spent;
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
	public Optional<Holder> toGiveUp(long now) {
		if (!this.spent) {
			return Optional.empty();
		}
		Collection<Holder> large = this.holders.stream().filter((each) -> each.waits() && !little(each)).toList();
		boolean overdrawn = this.held >= this.limit + this.limit / CONNECTION_PARTS;
		return large.stream()
			.filter((each) -> each.judged(now))
			.max(slowest(now))
			.or(() -> overdrawn ? large.stream().max(slowest(now)) : Optional.empty());
	}

	private static Comparator<Holder> slowest(long now) {
		return Comparator.<Holder>comparingDouble((each) -> each.secondsToEmpty(now)).thenComparingLong(Holder::held);
	}

	/**
	 * Says whether a holder has less than half of its part of the budget, if all that
	 * wait for another side had equal ones. The mean of what is held would not do: one
	 * large arrival raises it above all others.
	 */
	private boolean little(Holder holder) {
		long waiting = this.holders.stream().filter(Holder::waits).count();
		return 2 * waiting * holder.held() < this.limit;
	}

	boolean mayRead(Holder holder) {
		return this.spent ? little(holder) : holder.held() < this.limit / CONNECTION_PARTS;
	}

	void changed(long bytes) {
		this.held += bytes;
		this.spent = this.held >= (this.spent ? this.limit - this.limit / ROOM_PARTS : this.limit);
	}

	void closed(Holder holder) {
		if (this.holders.remove(holder)) {
			changed(-holder.held());
		}
	}

}
