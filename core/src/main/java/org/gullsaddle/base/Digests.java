package org.gullsaddle.base;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Hashes and signatures of texts, in UTF-8.
 */
public final class Digests {

	private static final String SHA_256 = "SHA-256";

	private static final String HMAC = "HmacSHA256";

	private Digests() {
	}

	/**
	 * Hashes texts by SHA-256, separated by a zero byte so that moving a character from
	 * one text to the next changes the hash.
	 * @param texts the texts
	 * @return the hash, 32 bytes
	 */
	public static byte[] sha256(String... texts) {
		try {
			return MessageDigest.getInstance(SHA_256).digest(join(texts));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has " + SHA_256, ex);
		}
	}

	/**
	 * Signs texts by HMAC-SHA256, separated by a zero byte.
	 * @param key the secret
	 * @param texts the texts
	 * @return the signature, 32 bytes
	 */
	public static byte[] hmac(byte[] key, String... texts) {
		try {
			Mac mac = Mac.getInstance(HMAC);
			mac.init(new SecretKeySpec(key, HMAC));
			return mac.doFinal(join(texts));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform has " + HMAC, ex);
		}
	}

	private static byte[] join(String... texts) {
		return String.join("\0", texts).getBytes(StandardCharsets.UTF_8);
	}

}
