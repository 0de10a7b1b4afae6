package org.gullsaddle.ledger;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Chains texts by SHA-256, so that a text changed, dropped or moved breaks the chain from
 * there on.
 */
final class HashChain {

	private HashChain() {
	}

	static String next(String previous, String text) {
		MessageDigest digest = sha256();
		digest.update(previous.getBytes(StandardCharsets.UTF_8));
		digest.update((byte) 0);
		digest.update(text.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(digest.digest());
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
