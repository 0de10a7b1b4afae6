package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The retry-after times of one service, see {@link RetryAfterScheduler}.
 */
final class ServiceRetrySchedule {

	/** The ratio of the capacity for returning callers; new callers get the rest. */
	private static final double RETURNING_CALLERS_RATIO = 0.5;

	/** The ratio of the whole capacity that each rank is assumed to get at least. */
	private static final double MIN_CAPACITY_RATIO = 0.05;

	/**
	 * The ratio of the useful time after which callers come back for whom no capacity is
	 * expected: after those of their rank for whom it is.
	 */
	private static final double NO_CAPACITY_START_RATIO = 0.75;

	/** How many requests must have ended for the rate to be reliable. */
	private static final int MIN_ENDS = 6;

	/**
	 * With fewer recent requests, the rate at which they end says nothing about capacity.
	 */
	private static final double MIN_RECENT_REQUESTS = 2;

	/**
	 * How many times are drawn, of which the one farthest from other reservations is
	 * used.
	 */
	private static final int DRAWS = 8;

	/** The greatest number of reservations held. */
	private static final int MAX_RESERVATIONS = 4096;

	private final Map<Integer, RankFlow> flows = new TreeMap<>();

	private final List<Reservation> reservations = new ArrayList<>();

	private final RandomGenerator random;

	ServiceRetrySchedule(RandomGenerator random) {
		this.random = random;
	}

	RankFlow flow(int rank) {
		return this.flows.computeIfAbsent(rank, (missing) -> new RankFlow());
	}

	RetryAfter schedule(long now, RefusedRequest refused, long earliestMillis, RemainingTime remaining) {
		if (!hasEnoughData(now)) {
			return new RetryAfter(earliestMillis, true);
		}
		this.reservations.removeIf((each) -> each.remainingRatio(now) <= 0);
		Optional<Reservation> earlier = findEarlier(now, refused);
		if (earlier.isPresent()) {
			return repeatRetryAfter(now, earlier.get(), earliestMillis);
		}
		double capacity = capacityPerMilli(now, refused.rank());
		double stepMillis = 1 / (capacity * RETURNING_CALLERS_RATIO);
		double first = earliestMillis + waitingRequests(now, refused.rank()) / capacity
				+ stepMillis * reservationsAhead(now, refused);
		double last = remaining.usefulMillis();
		// With many nodes, each has capacity only once in some seconds: each begins at
		// a random time within its first step.
		double drawn = first + stepMillis * this.random.nextDouble();
		// Without any capacity it is infinite or not a number.
		if (!(drawn <= last) || this.reservations.size() >= MAX_RESERVATIONS) {
			return new RetryAfter(Math.max(earliestMillis, Math.round(last * noCapacityRatio(refused.rank()))), false);
		}
		long at = now + mostIsolatedMillis(now, first, Math.min(stepMillis, last - first));
		this.reservations.add(new Reservation(at, stepMillis, refused));
		return new RetryAfter(at - now, true);
	}

	private boolean hasEnoughData(long now) {
		int ended = this.flows.values().stream().mapToInt(RankFlow::endCount).sum();
		double asked = this.flows.values().stream().mapToDouble((flow) -> flow.recentRequestCount(now)).sum();
		return ended >= MIN_ENDS && asked >= MIN_RECENT_REQUESTS;
	}

	/**
	 * Finds the reservation of a caller that comes back too early: it keeps its time and
	 * gets no second reservation.
	 */
	private Optional<Reservation> findEarlier(long now, RefusedRequest refused) {
		return this.reservations.stream()
			.filter((each) -> each.returnAt > now && each.refused.equals(refused))
			.findFirst();
	}

	/**
	 * Repeats a reserved time, with some delay: requests of equal content may come from
	 * several callers, which must not come back all at once.
	 */
	private RetryAfter repeatRetryAfter(long now, Reservation reservation, long earliestMillis) {
		long delay = Math.round(this.random.nextDouble() * Math.min(reservation.stepMillis, earliestMillis));
		return new RetryAfter(Math.max(earliestMillis, reservation.returnAt - now + delay), true);
	}

	/**
	 * Returns the capacity available to a rank, in requests a millisecond: its own, that
	 * of less urgent ranks, over which it has precedence, and at least a small ratio of
	 * the whole.
	 */
	private double capacityPerMilli(long now, int rank) {
		double all = 0;
		double own = 0;
		for (Map.Entry<Integer, RankFlow> each : this.flows.entrySet()) {
			double rate = each.getValue().endsPerMilli(now);
			all += rate;
			own += (each.getKey() >= rank) ? rate : 0;
		}
		return Math.max(own, MIN_CAPACITY_RATIO * all);
	}

	private double waitingRequests(long now, int rank) {
		return this.flows.entrySet()
			.stream()
			.filter((each) -> each.getKey() <= rank)
			.mapToDouble((each) -> each.getValue().excessOpenRequests(now))
			.sum();
	}

	/**
	 * Returns how many reservations are ahead of a caller: those of more urgent ranks,
	 * and in its own rank as many of each other team as its own team has, and one more.
	 */
	private double reservationsAhead(long now, RefusedRequest refused) {
		Map<String, Double> ofRank = new HashMap<>();
		double ahead = 0;
		for (Reservation each : this.reservations) {
			if (each.refused.rank() < refused.rank()) {
				ahead += each.remainingRatio(now);
			}
			else if (each.refused.rank() == refused.rank()) {
				ofRank.merge(each.refused.team(), each.remainingRatio(now), Double::sum);
			}
		}
		double own = ofRank.getOrDefault(refused.team(), 0.0);
		ofRank.remove(refused.team());
		return ahead + own + ofRank.values().stream().mapToDouble((reserved) -> Math.min(reserved, own + 1)).sum();
	}

	/**
	 * Returns the ratio of the useful time after which a caller comes back for whom no
	 * capacity is expected; it is somewhat lower for more urgent ranks.
	 */
	private double noCapacityRatio(int rank) {
		int ranks = this.flows.size();
		long before = this.flows.keySet().stream().filter((each) -> each < rank).count();
		double part = ((ranks + 1) * this.random.nextDouble() + before) / (2 * ranks);
		return NO_CAPACITY_START_RATIO + (1 - NO_CAPACITY_START_RATIO) * part;
	}

	private long mostIsolatedMillis(long now, double first, double span) {
		long best = Math.round(first);
		long bestGap = -1;
		for (int i = 0; i < DRAWS; i++) {
			long drawn = Math.round(first + span * this.random.nextDouble());
			long gap = this.reservations.stream()
				.mapToLong((each) -> Math.abs(each.returnAt - now - drawn))
				.min()
				.orElse(Long.MAX_VALUE);
			if (gap > bestGap) {
				bestGap = gap;
				best = drawn;
			}
		}
		return best;
	}

	/**
	 * The capacity reserved for a returning caller.
	 *
	 * @param returnAt when the caller may come back
	 * @param stepMillis for how long it takes up the capacity for returning callers
	 * @param refused its request
	 */
	private record Reservation(long returnAt, double stepMillis, RefusedRequest refused) {

		/** Returns how much of the reservation is still ahead of others, 0 to 1. */
		double remainingRatio(long now) {
			return Math.clamp((this.returnAt + this.stepMillis - now) / this.stepMillis, 0, 1);
		}

	}

}
