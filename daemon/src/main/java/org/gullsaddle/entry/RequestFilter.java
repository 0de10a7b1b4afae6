package org.gullsaddle.entry;

/**
 * A check that a caller's request passes before it is routed.
 */
interface RequestFilter {

	/**
	 * Checks a request and adds what it reads to the exchange.
	 * @throws RefusedException if the request is refused
	 */
	void apply(Exchange exchange) throws RefusedException;

}
