package org.gullsaddle.ledger;

import java.util.HexFormat;

import org.gullsaddle.base.Digests;

/**
 * Chains texts by SHA-256, so that a text changed, dropped or moved breaks the chain from
 * there on.
 */
final class HashChain {

	private HashChain() {
	}

	static String next(String previous, String text) {
		return HexFormat.of().formatHex(Digests.sha256(previous, text));
	}

}
