package org.gullsaddle.entry;

/**
 * A step that every request passes before it is routed.
 */
interface RequestFilter {

	/**
	 * Lets a request pass, having added what it found out.
	 * @throws RefusedException if the request goes no further
	 */
	void apply(Exchange exchange) throws RefusedException;

}
