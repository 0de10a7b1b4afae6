package org.gullsaddle.serve;

import java.util.Map;

/**
 * The data center of a node, and the regions of all data centers.
 *
 * @param dataCenter its data center
 * @param regions the region of each data center
 */
public record NodeLocation(String dataCenter, Map<String, String> regions) {

	public NodeLocation {
		regions = Map.copyOf(regions);
	}

	/**
	 * Returns the distance from this node to a data center.
	 * @param other the data center
	 * @return the distance
	 */
	public Distance distance(String other) {
		return distance(this.dataCenter, other);
	}

	/**
	 * Returns the distance between two data centers.
	 * @param one the first data center
	 * @param other the second data center
	 * @return the distance
	 */
	public Distance distance(String one, String other) {
		if (other.equals(one)) {
			return Distance.SAME_DATA_CENTER;
		}
		String region = this.regions.get(one);
		return (region != null && region.equals(this.regions.get(other))) ? Distance.SAME_REGION
				: Distance.OTHER_REGION;
	}

	/**
	 * Returns the region of a data center.
	 * @param other the data center
	 * @return the region, or the data center itself if its region is not known
	 */
	public String regionOf(String other) {
		return this.regions.getOrDefault(other, other);
	}

	/**
	 * Returns whether a data center is in this node's region.
	 * @param other the data center
	 * @return true if both have the same region
	 */
	public boolean sharesRegionWith(String other) {
		return distance(other) != Distance.OTHER_REGION;
	}

}
