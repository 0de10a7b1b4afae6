package org.gullsaddle.fuzz;

import java.util.function.ObjIntConsumer;

/**
 * What a scenario is made of; each step takes a number that picks among what can happen.
 */
enum Step {

	SEND(8, World::send),

	ORDER(5, World::order),

	DELIVER(30, World::deliver),

	PROGRESS(20, World::progress),

	STORE(12, (world, pick) -> world.store(pick / 8, pick % 8)),

	LATER(6, World::later),

	LATE_WRITE(2, World::lateWrite),

	ADVANCE(4, (world, pick) -> world.advance(pick % 800)),

	PAUSE(1, (world, pick) -> world.advanceWithout(pick, 2000 + pick)),

	BREAK_OFF(1, World::breakOff),

	CUT(1, World::cut),

	KILL_ENTRY(1, World::killEntry),

	KILL_AGENT(1, World::killAgent),

	CALLER_LEAVES(1, World::callerLeaves),

	CHANGE(1, World::change),

	HEAR(3, World::hear),

	DRAIN(1, (world, pick) -> {
		if (pick % 4 == 0) {
			world.drain(pick);
		}
	});

	private final int weight;

	private final ObjIntConsumer<World> action;

	Step(int weight, ObjIntConsumer<World> action) {
		this.weight = weight;
		this.action = action;
	}

	int weight() {
		return this.weight;
	}

	void apply(World world, int pick) {
		this.action.accept(world, pick);
	}

	/**
	 * Runs a scenario as a failing run prints it, such as {@code "SEND 1", "DELIVER 7"}.
	 */
	static World replay(World world, String scenario) {
		for (String each : scenario.replace("\"", "").split(",")) {
			String[] parts = each.strip().split(" ");
			valueOf(parts[0]).apply(world, Integer.parseInt(parts[1]));
		}
		return world;
	}

}
