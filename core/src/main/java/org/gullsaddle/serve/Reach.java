package org.gullsaddle.serve;

/**
 * How far away a replica is.
 */
public enum Reach {

	/** In the same data center. */
	DATA_CENTER,

	/** In another data center of the region. */
	REGION,

	/** In another region. */
	FAR

}
