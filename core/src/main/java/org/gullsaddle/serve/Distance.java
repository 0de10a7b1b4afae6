package org.gullsaddle.serve;

/**
 * How far away a replica is.
 */
public enum Distance {

	/** In the same data center. */
	SAME_DATA_CENTER,

	/** In another data center of the region. */
	SAME_REGION,

	/** In another region. */
	OTHER_REGION

}
