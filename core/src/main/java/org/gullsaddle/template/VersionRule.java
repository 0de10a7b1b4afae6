package org.gullsaddle.template;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Price;

/**
 * A template's rule for one version.
 *
 * @param version the version
 * @param state what may run on it
 * @param share its share of its model's new work, relative to the model's other active
 * versions; 0 for none
 * @param quality the mean rating that the operator expects, 0 to 1, used until there are
 * ratings
 * @param price what it costs
 */
public record VersionRule(ModelVersion version, VersionState state, double share, double quality, Price price) {

	public VersionRule {
		Check.notNull(version, "version");
		Check.notNull(state, "state");
		Check.notNull(price, "price");
		Check.that(share >= 0 && share <= 1, "share must be between 0 and 1");
		Check.that(quality >= 0 && quality <= 1, "quality must be between 0 and 1");
	}

	VersionRule withState(VersionState newState) {
		return new VersionRule(this.version, newState, this.share, this.quality, this.price);
	}

	VersionRule withShare(double newShare) {
		return new VersionRule(this.version, this.state, newShare, this.quality, this.price);
	}

	/**
	 * Returns whether a request may start on this version.
	 * @param pinned whether the request's session has this version already
	 * @return true if it may
	 */
	public boolean allowsStart(boolean pinned) {
		return switch (this.state) {
			case ACTIVE -> pinned || this.share > 0;
			case RETIRING -> pinned;
			case WITHDRAWN -> false;
		};
	}

}
