package org.gullsaddle.ledger;

import java.util.HexFormat;

import org.gullsaddle.base.Digests;

/**
 * Chains texts by SHA-256, so that changing, dropping or moving a text breaks the chain
 * from there on.
 */
final class HashChain {

	private HashChain() {
	}

	static String next(String previous, String text) {
		return HexFormat.of().formatHex(Digests.sha256(previous, text));
	}

}
