package org.gullsaddle.register;

import org.gullsaddle.base.Check;

/**
 * A key and its value in a register.
 *
 * @param key the key
 * @param nonce chosen by the node that put it, to recognise its own write
 * @param value the value
 * @param time when it was put or changed, in milliseconds since the epoch
 */
public record Entry(String key, String nonce, String value, long time) {

	public Entry {
		Check.notNull(key, "key");
		Check.notNull(nonce, "nonce");
		Check.notNull(value, "value");
	}

}
