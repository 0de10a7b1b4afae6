package org.gullsaddle.register;

/**
 * A change to one key of a register.
 */
public sealed interface Operation {

	/**
	 * Returns the key that the operation changes.
	 * @return the key
	 */
	String key();

	/**
	 * Puts a value unless the key has one; the answer is the key's entry afterwards.
	 *
	 * @param key the key
	 * @param nonce a new random text
	 * @param value the value
	 */
	record Put(String key, String nonce, String value) implements Operation {
	}

	/**
	 * Puts a value if the key has none or the expected one; the answer is the key's entry
	 * afterwards.
	 *
	 * @param key the key
	 * @param nonce a new random text
	 * @param value the value
	 * @param expected the value to replace
	 */
	record Replace(String key, String nonce, String value, String expected) implements Operation {
	}

	/**
	 * Changes the value of an entry that this node put.
	 *
	 * @param key the key
	 * @param nonce the nonce it was put with
	 * @param value the new value
	 */
	record Update(String key, String nonce, String value) implements Operation {
	}

	/**
	 * Removes an entry that this node put.
	 *
	 * @param key the key
	 * @param nonce the nonce it was put with
	 */
	record Remove(String key, String nonce) implements Operation {
	}

}
