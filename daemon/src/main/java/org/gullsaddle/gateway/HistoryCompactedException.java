package org.gullsaddle.gateway;

import org.gullsaddle.store.StoreException;

/**
 * The store has forgotten the changes that were asked for; everything must be read anew.
 */
public final class HistoryCompactedException extends StoreException {

	/**
	 * Makes an exception.
	 * @param message what the store said
	 */
	public HistoryCompactedException(String message) {
		super(message, false, null);
	}

}
