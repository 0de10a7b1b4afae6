package org.gullsaddle.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Fuzzes for a given time, to complement the fixed scenarios of the tests. Prints the
 * seed and the shrunk steps of a scenario that breaks a guarantee.
 */
public final class FuzzRun {

	private static final int STEPS = 200;

	private static final int TOTAL_WEIGHT = totalWeight();

	private FuzzRun() {
	}

	/**
	 * Runs scenarios until the time is over or a guarantee is broken.
	 * @param args the seconds and the first seed
	 */
	public static void main(String[] args) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Long.parseLong(args[0]));
		long seed = Long.parseLong(args[1]);
		long steps = 0;
		long faults = 0;
		while (System.nanoTime() < end) {
			List<PickedStep> moves = randomMoves(new Random(seed));
			SimulatedCluster world = run(moves);
			steps += moves.size();
			faults += world.faultCount();
			if (!world.oracle.violations().isEmpty()) {
				printViolation(seed, moves);
				System.out.println("fuzz: " + steps + " steps, " + faults + " faults, 1 violations");
				System.exit(1);
			}
			seed++;
		}
		System.out.println("fuzz: " + steps + " steps, " + faults + " faults, 0 violations");
	}

	/**
	 * Returns the first violation of a guarantee in the given number of scenarios, or an
	 * empty text.
	 */
	static String firstViolation(PlantedFault plant, int scenarios, String guarantee) {
		for (int seed = 1; seed <= scenarios; seed++) {
			SimulatedCluster world = run(new SimulatedCluster(plant), randomMoves(new Random(seed)));
			for (String violation : world.oracle.violations()) {
				if (violation.startsWith(guarantee + ":")) {
					return violation;
				}
			}
		}
		return "";
	}

	private static void printViolation(long seed, List<PickedStep> moves) {
		List<PickedStep> shrunk = shrink(moves);
		System.out.println("seed " + seed + ": " + run(shrunk).oracle.violations());
		System.out.println("steps: " + String.join(", ", shrunk.stream().map(PickedStep::toString).toList()));
	}

	/**
	 * Removes the steps that are not needed to break the same guarantee.
	 */
	private static List<PickedStep> shrink(List<PickedStep> moves) {
		String broken = firstBrokenGuarantee(run(moves));
		List<PickedStep> left = moves;
		for (int size = left.size() / 2; size >= 1; size /= 2) {
			for (int at = 0; at + size <= left.size();) {
				List<PickedStep> fewer = new ArrayList<>(left.subList(0, at));
				fewer.addAll(left.subList(at + size, left.size()));
				SimulatedCluster world = run(fewer);
				if (!world.oracle.violations().isEmpty() && firstBrokenGuarantee(world).equals(broken)) {
					left = fewer;
				}
				else {
					at += size;
				}
			}
		}
		return left;
	}

	private static String firstBrokenGuarantee(SimulatedCluster world) {
		return world.oracle.violations().get(0).split(":")[0];
	}

	private static SimulatedCluster run(List<PickedStep> moves) {
		return run(new SimulatedCluster(), moves);
	}

	private static SimulatedCluster run(SimulatedCluster world, List<PickedStep> moves) {
		moves.forEach((move) -> move.step().apply(world, move.pick()));
		world.settleAndCheck();
		return world;
	}

	private static List<PickedStep> randomMoves(Random random) {
		List<PickedStep> moves = new ArrayList<>();
		for (int i = 0; i < STEPS; i++) {
			moves.add(new PickedStep(chooseStep(random.nextInt(TOTAL_WEIGHT)), random.nextInt(1000)));
		}
		return moves;
	}

	private static Step chooseStep(int at) {
		int rest = at;
		for (Step step : Step.values()) {
			rest -= step.weight();
			if (rest < 0) {
				return step;
			}
		}
		throw new IllegalArgumentException("beyond the weights: " + at);
	}

	private static int totalWeight() {
		int total = 0;
		for (Step step : Step.values()) {
			total += step.weight();
		}
		return total;
	}

	private record PickedStep(Step step, int pick) {

		@Override
		public String toString() {
			return this.step + " " + this.pick;
		}

	}

}
