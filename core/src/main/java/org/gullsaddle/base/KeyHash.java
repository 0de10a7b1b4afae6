package org.gullsaddle.base;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Hashes keys uniformly to numbers from 0 to 1, with the same result on every node.
 */
public final class KeyHash {

	private static final int BITS = 53;

	private KeyHash() {
	}

	/**
	 * Hashes a key.
	 * @param key the key
	 * @return a number from 0, below 1
	 */
	public static double toUnitInterval(String key) {
		return (Hashing.komihash5_0().hashCharsToLong(key) >>> (Long.SIZE - BITS)) * 0x1.0p-53;
	}

}
