package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.EngineReport;
import org.gullsaddle.serve.NodeLocation;
import org.gullsaddle.serve.ReplicaSelector;

/**
 * The engines of one data center, as replicas that routers know, with what they say of
 * themselves when they are asked.
 */
final class EngineRack {

	private static final String DATA_CENTER = "a";

	/** Where nodes before these engines are. */
	static final NodeLocation PLACE = new NodeLocation(DATA_CENTER, Map.of(DATA_CENTER, "r"));

	private final Timeline time;

	/** How old what an engine says may be, in milliseconds. */
	private final double reportMillis;

	private final List<Replica> replicas = new ArrayList<>();

	private final Map<ReplicaId, EngineModel> engines = new HashMap<>();

	private final Map<ReplicaId, Told> told = new HashMap<>();

	EngineRack(Timeline time, List<EngineShape> shapes, double reportMillis) {
		this.time = time;
		this.reportMillis = reportMillis;
		for (EngineShape shape : shapes) {
			int number = this.replicas.size();
			Replica replica = new Replica(new ReplicaId("engine-" + number), new ServiceName("engines"),
					new Address("10.0.0." + (number + 1), 80), DATA_CENTER, "v1", shape.slots(), false, 1);
			this.replicas.add(replica);
			this.engines.put(replica.id(), new EngineModel(shape, time));
		}
	}

	/**
	 * Returns the replicas that are left.
	 */
	List<Replica> replicas() {
		return this.replicas;
	}

	/**
	 * Loses the last replicas with all that they run.
	 */
	void lose(int count) {
		for (int i = 0; i < count; i++) {
			engine(this.replicas.remove(this.replicas.size() - 1)).crash();
		}
	}

	EngineModel engine(Replica replica) {
		return this.engines.get(replica.id());
	}

	/**
	 * Returns an engine.
	 * @param number its number in the order of the replicas
	 */
	EngineModel engine(int number) {
		return engine(this.replicas.get(number));
	}

	/**
	 * Returns how many prompt tokens all engines have read.
	 */
	long readTokens() {
		return this.engines.values().stream().mapToLong(EngineModel::readTokens).sum();
	}

	/**
	 * Has a node learn the load of an engine by asking it.
	 */
	void tell(ReplicaSelector picker, Replica replica) {
		long now = Math.round(this.time.now());
		Told last = this.told.get(replica.id());
		if (last == null || now - last.at >= this.reportMillis) {
			last = new Told(now, engine(replica).report());
			this.told.put(replica.id(), last);
		}
		picker.onLoadReport(now, replica, last.report);
	}

	/**
	 * What an engine told, and when.
	 */
	private record Told(long at, EngineReport report) {
	}

}
