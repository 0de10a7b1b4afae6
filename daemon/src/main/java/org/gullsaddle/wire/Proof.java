package org.gullsaddle.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import org.gullsaddle.base.Digests;

/**
 * Computes and checks proofs of the shared key over both sides' nonces and names.
 * <p>
 * Without it, anyone who can reach a node's port could dispatch work in any team's name.
 * A proof over the other side's fresh nonce cannot be replayed, and the label keeps one
 * side's proof from being returned as the other's.
 */
final class Proof {

	private static final int NONCE_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final byte[] key;

	Proof(byte[] key) {
		this.key = key.clone();
	}

	static String newNonce() {
		byte[] bytes = new byte[NONCE_BYTES];
		RANDOM.nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	String compute(String label, String... parts) {
		List<String> texts = new ArrayList<>(List.of(label));
		texts.addAll(List.of(parts));
		return HexFormat.of().formatHex(Digests.hmac(this.key, texts.toArray(String[]::new)));
	}

	boolean matches(String given, String label, String... parts) {
		byte[] expected = compute(label, parts).getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(expected, String.valueOf(given).getBytes(StandardCharsets.UTF_8));
	}

}
