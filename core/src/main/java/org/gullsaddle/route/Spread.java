package org.gullsaddle.route;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Maps a key to a number from 0 to 1, evenly, and the same everywhere.
 */
final class Spread {

	private static final int BITS = 53;

	private Spread() {
	}

	static double unit(String key) {
		return (Hashing.komihash5_0().hashCharsToLong(key) >>> (Long.SIZE - BITS)) * 0x1.0p-53;
	}

}
