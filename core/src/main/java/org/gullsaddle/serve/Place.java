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
	 * Says how far away a data center is.
	 * @param other the data center
	 * @return its distance
	 */
	public Reach reach(String other) {
		if (other.equals(this.dataCenter)) {
			return Reach.DATA_CENTER;
		}
		return sameRegion(other) ? Reach.REGION : Reach.FAR;
	}

	/**
	 * Returns the region of a data center.
	 * @param other the data center
	 * @return the region, or the data center itself if its region is not known
	 */
	public String region(String other) {
		return this.regions.getOrDefault(other, other);
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
