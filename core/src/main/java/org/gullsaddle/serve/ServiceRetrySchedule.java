package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The return times of one service's callers, see {@link RetryAfterScheduler}.
 */
final class ServiceRetrySchedule {

	/** The part of the room that is for returning callers; newcomers get the rest. */
	private static final double RETURNING_CALLERS_RATIO = 0.5;

	/** The part of the room of more urgent ranks that a rank finds at least. */
	private static final double MIN_CAPACITY_RATIO = 0.05;

	/**
	 * From which part of that time on callers without hope return: after those of their
	 * rank that have some.
	 */
	private static final double NO_CAPACITY_START_RATIO = 0.75;

	/** How many ends must be seen for their rate to mean something. */
	private static final int MIN_ENDS = 6;

	/** With fewer requests lately the rate at which they end tells nothing of room. */
	private static final double MIN_RECENT_REQUESTS = 2;

	/** How many moments of its turn are drawn, of which the loneliest is told. */
	private static final int DRAWS = 8;

	/** How many places are kept at most. */
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

	RetryAfter schedule(long now, RefusedRequest refused, long soonest, RemainingTime left) {
		if (!hasEnoughData(now)) {
			return new RetryAfter(soonest, true);
		}
		this.reservations.removeIf((each) -> each.remainingRatio(now) <= 0);
		Optional<Reservation> earlier = findEarlier(now, refused);
		if (earlier.isPresent()) {
			return repeatRetryAfter(now, earlier.get(), soonest);
		}
		double room = capacityPerMilli(now, refused.rank());
		double step = 1 / (room * RETURNING_CALLERS_RATIO);
		double first = soonest + waitingRequests(now, refused.rank()) / room + step * reservationsAhead(now, refused);
		double last = left.usefulMillis();
		// Many nodes have a turn in some seconds only: each begins somewhere in its
		// first.
		double drawn = first + step * this.random.nextDouble();
		// Without any room it is infinite or not a number.
		if (!(drawn <= last) || this.reservations.size() >= MAX_RESERVATIONS) {
			return new RetryAfter(Math.max(soonest, Math.round(last * noCapacityRatio(refused.rank()))), false);
		}
		long at = now + mostIsolatedMillis(now, first, Math.min(step, last - first));
		this.reservations.add(new Reservation(at, step, refused));
		return new RetryAfter(at - now, true);
	}

	private boolean hasEnoughData(long now) {
		int seen = this.flows.values().stream().mapToInt(RankFlow::endCount).sum();
		double asked = this.flows.values().stream().mapToDouble((flow) -> flow.recentRequestCount(now)).sum();
		return seen >= MIN_ENDS && asked >= MIN_RECENT_REQUESTS;
	}

	/**
	 * A caller that comes before its time is told the same time, and takes no second
	 * place.
	 */
	private Optional<Reservation> findEarlier(long now, RefusedRequest refused) {
		return this.reservations.stream()
			.filter((each) -> each.returnAt > now && each.refused.equals(refused))
			.findFirst();
	}

	/**
	 * Requests of equal content may be several callers', which are not to return at once.
	 */
	private RetryAfter repeatRetryAfter(long now, Reservation told, long soonest) {
		long late = Math.round(this.random.nextDouble() * Math.min(told.stepMillis, soonest));
		return new RetryAfter(Math.max(soonest, told.returnAt - now + late), true);
	}

	/**
	 * Returns how much room a rank finds, in requests a millisecond: its own, and that of
	 * less urgent ones, which it goes ahead of, and a little of the others'.
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
	 * Returns how many places are ahead of a caller: those of more urgent ranks, and in
	 * its own rank one of each team for each that its team has.
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
		return ahead + own + ofRank.values().stream().mapToDouble((taken) -> Math.min(taken, own + 1)).sum();
	}

	/**
	 * Returns the part of the time that callers wait after which one without hope is to
	 * return: more urgent ranks somewhat sooner.
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
	 * A caller's place among those that return.
	 *
	 * @param at when it is to come
	 * @param step for how long it has the room for returning callers
	 * @param refused its request
	 */
	private record Reservation(long returnAt, double stepMillis, RefusedRequest refused) {

		/** Returns how much of the place is still ahead of others, 0 to 1. */
		double remainingRatio(long now) {
			return Math.clamp((this.returnAt + this.stepMillis - now) / this.stepMillis, 0, 1);
		}

	}

}
