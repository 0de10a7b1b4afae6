package org.gullsaddle.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions in which requests may be served.
 *
 * @param regions the regions, or empty if all are allowed
 */
public record RegionLimit(Optional<Set<String>> regions) {

	/** No limit. */
	public static final RegionLimit ANYWHERE = new RegionLimit(Optional.empty());

	public RegionLimit {
		regions = regions.map(Set::copyOf);
	}

	/**
	 * Creates a limit to some regions.
	 * @param regions the regions; none means that there is no limit
	 * @return the limit
	 */
	public static RegionLimit of(Collection<String> regions) {
		return regions.isEmpty() ? ANYWHERE : new RegionLimit(Optional.of(Set.copyOf(regions)));
	}

	/**
	 * Returns the intersection of this limit and another.
	 * @param other the other limit
	 * @return the regions that both allow, which may be none
	 */
	public RegionLimit intersect(RegionLimit other) {
		if (other.regions.isEmpty()) {
			return this;
		}
		if (this.regions.isEmpty()) {
			return other;
		}
		Set<String> common = new HashSet<>(this.regions.get());
		common.retainAll(other.regions.get());
		return new RegionLimit(Optional.of(common));
	}

	/**
	 * Returns whether requests may be served in a region.
	 * @param region the region
	 * @return true if they may
	 */
	public boolean allows(String region) {
		return this.regions.isEmpty() || this.regions.get().contains(region);
	}

}
