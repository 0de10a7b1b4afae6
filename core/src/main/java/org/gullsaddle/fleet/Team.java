package org.gullsaddle.fleet;

import java.util.OptionalInt;
import java.util.Set;

import org.gullsaddle.base.TeamId;

/**
 * A team and the keys that its callers present.
 *
 * @param id the team
 * @param keys its keys
 * @param rank its rank, 0 is the highest; it takes precedence over that of a route
 * @param limit the regions in which its requests may be served
 */
public record Team(TeamId id, Set<String> keys, OptionalInt rank, RegionLimit limit) {

	public Team {
		keys = Set.copyOf(keys);
	}

}
