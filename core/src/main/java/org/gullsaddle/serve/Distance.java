package org.gullsaddle.serve;

/**
 * The location of a replica relative to a node.
 */
public enum Distance {

	/** Both are in the same data center. */
	SAME_DATA_CENTER,

	/** They are in different data centers of one region. */
	SAME_REGION,

	/** They are in different regions. */
	OTHER_REGION

}
