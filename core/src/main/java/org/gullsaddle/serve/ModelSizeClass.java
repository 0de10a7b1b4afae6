package org.gullsaddle.serve;

/**
 * How a model compares with the others of its service.
 */
public enum ModelSizeClass {

	/** All take about as long, or there is no other. */
	SIMILAR,

	/** It takes far less time than the largest. */
	SMALL,

	/** It is the largest, or takes nearly as long. */
	LARGE

}
