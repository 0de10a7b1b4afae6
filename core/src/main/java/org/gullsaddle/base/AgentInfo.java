package org.gullsaddle.base;

import java.util.Set;

/**
 * An agent's report about itself and its backend server.
 *
 * @param id the agent
 * @param region its region
 * @param dataCenter its data center
 * @param versions the versions its backend server has loaded
 * @param load the backend server's load
 */
public record AgentInfo(NodeId id, String region, String dataCenter, Set<ModelVersion> versions, LoadReport load) {

	public AgentInfo {
		Check.notNull(id, "id");
		Check.notNull(region, "region");
		Check.notNull(dataCenter, "dataCenter");
		Check.notNull(load, "load");
		versions = Set.copyOf(versions);
	}

}
