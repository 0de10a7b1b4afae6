package org.gullsaddle.serve;

import java.util.Map;

/**
 * Where a node is.
 *
 * @param dataCenter its data center
 * @param regions the region of each data center
 */
public record Place(String dataCenter, Map<String, String> regions) {

	public Place {
		regions = Map.copyOf(regions);
	}

	/**
	 * Says whether a data center is in this node's region.
	 * @param other the data center
	 * @return true if both have the same region
	 */
	public boolean sameRegion(String other) {
		String region = this.regions.get(this.dataCenter);
		return region != null && region.equals(this.regions.get(other));
	}

}
