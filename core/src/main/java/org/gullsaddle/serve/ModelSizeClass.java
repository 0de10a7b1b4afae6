package org.gullsaddle.serve;

/**
 * The size of a model relative to the other models of its service.
 */
public enum ModelSizeClass {

	/** All models take about as long, or there is no other. */
	SIMILAR,

	/** The model takes far less time than the largest. */
	SMALL,

	/** The model is the largest, or takes nearly as long. */
	LARGE

}
