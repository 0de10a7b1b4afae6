package org.gullsaddle.fuzz;

import java.util.function.ObjIntConsumer;

/**
 * A step of a scenario. Its number selects among the possible targets and outcomes.
 */
enum Step {

	SEND(8, SimulatedCluster::send),

	ORDER(5, SimulatedCluster::sendAtMostOnce),

	DELIVER(30, SimulatedCluster::deliver),

	PROGRESS(20, SimulatedCluster::progressJob),

	STORE(12, (world, pick) -> world.endStoreCall(pick / 8, pick % 8)),

	LATER(6, SimulatedCluster::later),

	LATE_WRITE(2, SimulatedCluster::applyLateWrite),

	ADVANCE(4, (world, pick) -> world.advance(pick % 800)),

	PAUSE(1, (world, pick) -> world.advanceExceptOneAgent(pick, 2000 + pick)),

	BREAK_OFF(1, SimulatedCluster::failJob),

	CUT(1, SimulatedCluster::cutLink),

	KILL_ENTRY(1, SimulatedCluster::killEntry),

	KILL_AGENT(1, SimulatedCluster::killAgent),

	CALLER_LEAVES(1, SimulatedCluster::disconnectCaller),

	CHANGE(1, SimulatedCluster::changeVersionState),

	HEAR(3, SimulatedCluster::deliverRevision),

	DRAIN(1, (world, pick) -> {
		if (pick % 4 == 0) {
			world.drainAgent(pick);
		}
	});

	private final int weight;

	private final ObjIntConsumer<SimulatedCluster> action;

	Step(int weight, ObjIntConsumer<SimulatedCluster> action) {
		this.weight = weight;
		this.action = action;
	}

	int weight() {
		return this.weight;
	}

	void apply(SimulatedCluster world, int pick) {
		this.action.accept(world, pick);
	}

	/**
	 * Replays a scenario in the format that a failing run prints, such as
	 * {@code "SEND 1", "DELIVER 7"}.
	 */
	static SimulatedCluster replay(SimulatedCluster world, String scenario) {
		for (String each : scenario.replace("\"", "").split(",")) {
			String[] parts = each.strip().split(" ");
			valueOf(parts[0]).apply(world, Integer.parseInt(parts[1]));
		}
		return world;
	}

}
