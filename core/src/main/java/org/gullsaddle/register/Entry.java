package org.gullsaddle.register;

import org.gullsaddle.base.Check;

/**
 * A fact in a register.
 *
 * @param key what it is about
 * @param nonce chosen by whoever put it, to recognise its own write
 * @param value what is said of the key
 * @param time when it was put or changed, in milliseconds since the epoch
 */
public record Entry(String key, String nonce, String value, long time) {

	public Entry {
		Check.notNull(key, "key");
		Check.notNull(nonce, "nonce");
		Check.notNull(value, "value");
	}

}
