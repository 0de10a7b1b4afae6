package org.gullsaddle.gateway;

import org.gullsaddle.store.StoreException;

/**
 * Thrown if the store no longer keeps the requested changes, so that everything must be
 * reread.
 */
public final class HistoryCompactedException extends StoreException {

	/**
	 * Creates an exception.
	 * @param message the store's message
	 */
	public HistoryCompactedException(String message) {
		super(message, false, null);
	}

}
