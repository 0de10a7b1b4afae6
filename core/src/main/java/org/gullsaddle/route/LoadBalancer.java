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
 * Knows the agents and picks one for an attempt: near before far, the one that likely has
 * the prompt's prefix cached while that has room, otherwise the emptiest.
 */
final class LoadBalancer {

	/** Up to where a backend server is sure to have room, whatever the others send it. */
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
	 * Forgets an agent and returns the attempts that were lost with it.
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
	 * Notes the end of an attempt, also of one whose request had its end before: left
	 * out, it would count as running for ever, and its server would get less work after
	 * each.
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
	 * Notes that an agent's backend server failed an attempt.
	 * @return true if that tells against the version too: the first failure of this agent
	 * since a success, or one of the only agent that serves the version
	 */
	boolean recordFailure(long now, NodeId agent, ModelVersion version) {
		AgentState state = this.agents.get(agent);
		boolean first = state != null && state.recordFailure(now);
		return first || this.agents.values()
			.stream()
			.filter((other) -> other.info().versions().contains(version))
			.count() <= 1;
	}

	/**
	 * Returns the versions that an agent serves which is not leaving.
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
	 * Picks an agent.
	 * @param now the time in milliseconds
	 * @param version the version it must serve
	 * @param prefixHash the hash of the prompt's start
	 * @param tried agents that refused or failed the request already
	 * @return the agent, or empty if none is left
	 */
	Optional<NodeId> chooseAgent(long now, ModelVersion version, long prefixHash, Set<NodeId> tried) {
		List<AgentState> able = this.agents.values()
			.stream()
			.filter((agent) -> !agent.isLeaving())
			.filter((agent) -> agent.info().versions().contains(version))
			.filter((agent) -> !tried.contains(agent.info().id()))
			.toList();
		List<AgentState> sound = able.stream().filter((agent) -> !agent.isEjected(now)).toList();
		List<AgentState> near = nearestWithCapacity(sound.isEmpty() ? able : sound);
		if (near.isEmpty()) {
			return Optional.empty();
		}
		AgentState cached = near.stream()
			.max(Comparator.comparingLong((agent) -> rendezvousScore(agent, prefixHash)))
			.get();
		double mean = near.stream().mapToDouble(AgentState::loadRatio).average().orElse(0);
		if (cached.loadRatio() <= Math.max(mean, SAFE_LOAD_RATIO) && cached.loadRatio() < 1) {
			return Optional.of(cached.info().id());
		}
		return Optional.of(leastLoaded(near).info().id());
	}

	/**
	 * Picks the emptiest of all, beginning anywhere, so that entries that see the same do
	 * not all take the first of the emptiest.
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
	 * Returns the agents of the nearest ring that has room, or all if none has.
	 */
	private List<AgentState> nearestWithCapacity(List<AgentState> able) {
		List<AgentState> ring = new ArrayList<>();
		for (int distance = 0; distance <= 2; distance++) {
			for (AgentState agent : able) {
				if (distance(agent) == distance) {
					ring.add(agent);
				}
			}
			if (ring.stream().anyMatch((agent) -> agent.loadRatio() < 1)) {
				return ring;
			}
		}
		return ring;
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
