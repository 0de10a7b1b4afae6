package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * The return times of one service's callers, see {@link ReturnTimes}.
 */
final class ServiceReturns {

	/** The part of the room that is for returning callers; newcomers get the rest. */
	private static final double RETURNING_PART = 0.5;

	/** The part of the room of more urgent ranks that a rank finds at least. */
	private static final double LEAST_PART = 0.05;

	/**
	 * From which part of that time on callers without hope return: after those of their
	 * rank that have some.
	 */
	private static final double HOPELESS_FROM = 0.75;

	/** How many ends must be seen for their rate to mean something. */
	private static final int FEWEST_ENDS = 6;

	/** With fewer requests lately the rate at which they end tells nothing of room. */
	private static final double FEWEST_ASKED = 2;

	/** How many moments of its turn are drawn, of which the loneliest is told. */
	private static final int DRAWS = 8;

	/** How many places are kept at most. */
	private static final int MOST_PLACES = 4096;

	private final Map<Integer, RankFlow> flows = new TreeMap<>();

	private final List<Told> places = new ArrayList<>();

	private final RandomGenerator random;

	ServiceReturns(RandomGenerator random) {
		this.random = random;
	}

	RankFlow flow(int rank) {
		return this.flows.computeIfAbsent(rank, (missing) -> new RankFlow());
	}

	ReturnTime next(long now, Refused refused, long soonest, TimeLeft left) {
		if (!known(now)) {
			return new ReturnTime(soonest, true);
		}
		this.places.removeIf((each) -> each.taken(now) <= 0);
		Optional<Told> earlier = earlier(now, refused);
		if (earlier.isPresent()) {
			return again(now, earlier.get(), soonest);
		}
		double room = room(now, refused.rank());
		double step = 1 / (room * RETURNING_PART);
		double first = soonest + waiting(now, refused.rank()) / room + step * ahead(now, refused);
		double last = left.useful();
		// Many nodes have a turn in some seconds only: each begins somewhere in its
		// first.
		double drawn = first + step * this.random.nextDouble();
		// Without any room it is infinite or not a number.
		if (!(drawn <= last) || this.places.size() >= MOST_PLACES) {
			return new ReturnTime(Math.max(soonest, Math.round(last * late(refused.rank()))), false);
		}
		long at = now + loneliest(now, first, Math.min(step, last - first));
		this.places.add(new Told(at, step, refused));
		return new ReturnTime(at - now, true);
	}

	private boolean known(long now) {
		int seen = this.flows.values().stream().mapToInt(RankFlow::endsSeen).sum();
		double asked = this.flows.values().stream().mapToDouble((flow) -> flow.askedLately(now)).sum();
		return seen >= FEWEST_ENDS && asked >= FEWEST_ASKED;
	}

	/**
	 * A caller that comes before its time is told the same time, and takes no second
	 * place.
	 */
	private Optional<Told> earlier(long now, Refused refused) {
		return this.places.stream().filter((each) -> each.at > now && each.refused.equals(refused)).findFirst();
	}

	/**
	 * Requests of equal content may be several callers', which are not to return at once.
	 */
	private ReturnTime again(long now, Told told, long soonest) {
		long late = Math.round(this.random.nextDouble() * Math.min(told.step, soonest));
		return new ReturnTime(Math.max(soonest, told.at - now + late), true);
	}

	/**
	 * Returns how much room a rank finds, in requests a millisecond: its own, and that of
	 * less urgent ones, which it goes ahead of, and a little of the others'.
	 */
	private double room(long now, int rank) {
		double all = 0;
		double own = 0;
		for (Map.Entry<Integer, RankFlow> each : this.flows.entrySet()) {
			double rate = each.getValue().endRate(now);
			all += rate;
			own += (each.getKey() >= rank) ? rate : 0;
		}
		return Math.max(own, LEAST_PART * all);
	}

	private double waiting(long now, int rank) {
		return this.flows.entrySet()
			.stream()
			.filter((each) -> each.getKey() <= rank)
			.mapToDouble((each) -> each.getValue().waiting(now))
			.sum();
	}

	/**
	 * Returns how many places are ahead of a caller: those of more urgent ranks, and in
	 * its own rank one of each team for each that its team has.
	 */
	private double ahead(long now, Refused refused) {
		Map<String, Double> ofRank = new HashMap<>();
		double ahead = 0;
		for (Told each : this.places) {
			if (each.refused.rank() < refused.rank()) {
				ahead += each.taken(now);
			}
			else if (each.refused.rank() == refused.rank()) {
				ofRank.merge(each.refused.team(), each.taken(now), Double::sum);
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
	private double late(int rank) {
		int ranks = this.flows.size();
		long before = this.flows.keySet().stream().filter((each) -> each < rank).count();
		double part = ((ranks + 1) * this.random.nextDouble() + before) / (2 * ranks);
		return HOPELESS_FROM + (1 - HOPELESS_FROM) * part;
	}

	private long loneliest(long now, double first, double span) {
		long best = Math.round(first);
		long bestGap = -1;
		for (int i = 0; i < DRAWS; i++) {
			long drawn = Math.round(first + span * this.random.nextDouble());
			long gap = this.places.stream()
				.mapToLong((each) -> Math.abs(each.at - now - drawn))
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
	private record Told(long at, double step, Refused refused) {

		/** Returns how much of the place is still ahead of others, 0 to 1. */
		double taken(long now) {
			return Math.clamp((this.at + this.step - now) / this.step, 0, 1);
		}

	}

}
