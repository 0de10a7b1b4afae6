package org.gullsaddle.base;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Maps a key to a number from 0 to 1, evenly, and the same everywhere.
 */
public final class KeyHash {

	private static final int BITS = 53;

	private KeyHash() {
	}

	/**
	 * Maps a key.
	 * @param key the key
	 * @return its number, 0 or more and below 1
	 */
	public static double toUnitInterval(String key) {
		return (Hashing.komihash5_0().hashCharsToLong(key) >>> (Long.SIZE - BITS)) * 0x1.0p-53;
	}

}
