package org.gullsaddle.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.dynatrace.hash4j.hashing.Hashing;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;

/**
 * Chooses the agent for an attempt among those that are connected. The same data center
 * comes before the same region, and that before other regions. Among agents of equal
 * distance it prefers the one that is likely to have the prompt's prefix cached, as long
 * as that has capacity, otherwise the one with the least load.
 */
final class LoadBalancer {

	/**
	 * Up to this load ratio a backend server has capacity even if peers send to it too.
	 */
	private static final double SAFE_LOAD_RATIO = 0.5;

	private final Map<NodeId, AgentState> agents = new TreeMap<>();

	private final Map<AttemptId, AgentState> agentsByAttempt = new HashMap<>();

	private final String region;

	private final String dataCenter;

	private final RandomGenerator random;

	LoadBalancer(String region, String dataCenter, RandomGenerator random) {
		this.region = region;
		this.dataCenter = dataCenter;
		this.random = random;
	}

	void onAgentUp(AgentInfo info) {
		AgentState known = this.agents.get(info.id());
		if (known != null) {
			known.update(info);
		}
		else {
			this.agents.put(info.id(), new AgentState(info));
		}
	}

	void onLoadReport(NodeId agent, LoadReport load) {
		AgentState state = this.agents.get(agent);
		if (state != null) {
			state.onLoadReport(load);
		}
	}

	void onAgentLeaving(NodeId agent) {
		AgentState state = this.agents.get(agent);
		if (state != null) {
			state.markLeaving();
		}
	}

	/**
	 * Removes an agent and returns its outstanding attempts, which are lost.
	 */
	Set<AttemptId> onAgentDown(NodeId agent) {
		AgentState state = this.agents.remove(agent);
		if (state == null) {
			return Set.of();
		}
		Set<AttemptId> lost = state.outstandingAttempts();
		this.agentsByAttempt.keySet().removeAll(lost);
		return lost;
	}

	void onAttemptSent(NodeId agent, AttemptId attempt) {
		AgentState state = this.agents.get(agent);
		state.onAttemptSent(attempt);
		this.agentsByAttempt.put(attempt, state);
	}

	/**
	 * Handles the end of an attempt, also of one whose request has ended before.
	 * Otherwise it would count as running for ever, and its backend server would get less
	 * work after each such attempt.
	 */
	void onAttemptEnded(AttemptId attempt) {
		AgentState state = this.agentsByAttempt.remove(attempt);
		if (state != null) {
			state.onAttemptEnded(attempt);
		}
	}

	void recordSuccess(NodeId agent) {
		AgentState state = this.agents.get(agent);
		if (state != null) {
			state.recordSuccess();
		}
	}

	/**
	 * Records that an agent's backend server failed an attempt.
	 * @param now the time in milliseconds
	 * @param agent the agent
	 * @param version the version that the attempt ran on
	 * @return true if the failure counts against the version too: it is the first of this
	 * agent since a success, or at most one agent serves the version
	 */
	boolean recordFailure(long now, NodeId agent, ModelVersion version) {
		AgentState state = this.agents.get(agent);
		boolean isFirstFailure = state != null && state.recordFailure(now);
		return isFirstFailure || this.agents.values()
			.stream()
			.filter((other) -> other.info().versions().contains(version))
			.count() <= 1;
	}

	/**
	 * Returns the versions served by agents that are not leaving.
	 */
	Set<ModelVersion> servedVersions() {
		Set<ModelVersion> versions = new HashSet<>();
		for (AgentState agent : this.agents.values()) {
			if (!agent.isLeaving()) {
				versions.addAll(agent.info().versions());
			}
		}
		return versions;
	}

	/**
	 * Chooses an agent for an attempt. Ejected agents are used only if no other is left.
	 * @param now the time in milliseconds
	 * @param version the version that the agent must serve
	 * @param prefixHash the hash of the start of the prompt
	 * @param excluded agents that refused or failed the request already
	 * @return the agent, or empty if none is left
	 */
	Optional<NodeId> chooseAgent(long now, ModelVersion version, long prefixHash, Set<NodeId> excluded) {
		List<AgentState> candidates = this.agents.values()
			.stream()
			.filter((agent) -> !agent.isLeaving())
			.filter((agent) -> agent.info().versions().contains(version))
			.filter((agent) -> !excluded.contains(agent.info().id()))
			.toList();
		List<AgentState> healthy = candidates.stream().filter((agent) -> !agent.isEjected(now)).toList();
		List<AgentState> nearest = nearestWithCapacity(healthy.isEmpty() ? candidates : healthy);
		if (nearest.isEmpty()) {
			return Optional.empty();
		}
		AgentState cached = nearest.stream()
			.max(Comparator.comparingLong((agent) -> rendezvousScore(agent, prefixHash)))
			.get();
		double mean = nearest.stream().mapToDouble(AgentState::loadRatio).average().orElse(0);
		if (cached.loadRatio() <= Math.max(mean, SAFE_LOAD_RATIO) && cached.loadRatio() < 1) {
			return Optional.of(cached.info().id());
		}
		return Optional.of(leastLoaded(nearest).info().id());
	}

	/**
	 * Returns the agent with the least load. The search begins at a random agent, so that
	 * entries with the same view do not all choose the same one among equals.
	 */
	private AgentState leastLoaded(List<AgentState> agents) {
		int start = this.random.nextInt(agents.size());
		AgentState best = agents.get(start);
		for (int i = 1; i < agents.size(); i++) {
			AgentState next = agents.get((start + i) % agents.size());
			if (next.loadRatio() < best.loadRatio()) {
				best = next;
			}
		}
		return best;
	}

	/**
	 * Returns the agents up to the smallest distance at which one has capacity, or all if
	 * none has.
	 */
	private List<AgentState> nearestWithCapacity(List<AgentState> candidates) {
		List<AgentState> nearest = new ArrayList<>();
		for (int distance = 0; distance <= 2; distance++) {
			for (AgentState agent : candidates) {
				if (distance(agent) == distance) {
					nearest.add(agent);
				}
			}
			if (nearest.stream().anyMatch((agent) -> agent.loadRatio() < 1)) {
				return nearest;
			}
		}
		return nearest;
	}

	private int distance(AgentState agent) {
		if (!agent.info().region().equals(this.region)) {
			return 2;
		}
		return agent.info().dataCenter().equals(this.dataCenter) ? 0 : 1;
	}

	private static long rendezvousScore(AgentState agent, long prefixHash) {
		return Hashing.komihash5_0().hashStream().putString(agent.info().id().value()).putLong(prefixHash).getAsLong();
	}

}
