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
		return reach(this.dataCenter, other);
	}

	/**
	 * Says how far apart two data centers are.
	 * @param one the one
	 * @param other the other
	 * @return the distance
	 */
	public Reach reach(String one, String other) {
		if (other.equals(one)) {
			return Reach.DATA_CENTER;
		}
		String region = this.regions.get(one);
		return (region != null && region.equals(this.regions.get(other))) ? Reach.REGION : Reach.FAR;
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
		return reach(other) != Reach.FAR;
	}

}
