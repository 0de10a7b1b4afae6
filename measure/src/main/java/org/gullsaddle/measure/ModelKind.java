package org.gullsaddle.measure;

/**
 * A size of model, with its pace and price.
 *
 * @param name its name
 * @param pace how many times longer an engine takes over a token than at pace 1
 * @param relativePace how many times longer than the smallest the router takes it for, by
 * its price
 */
record ModelKind(String name, double pace, double relativePace) {

	static final ModelKind SMALL = new ModelKind("small", 0.3, 1);

	static final ModelKind LARGE = new ModelKind("large", 3, 14.6);

}
