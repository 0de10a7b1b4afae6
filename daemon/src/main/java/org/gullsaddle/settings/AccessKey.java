package org.gullsaddle.settings;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

import org.gullsaddle.base.Digests;
import org.gullsaddle.yaml.YamlNode;

/**
 * The hash of a key and whom the key belongs to.
 *
 * @param <T> the type of the owner
 * @param owner whom the key belongs to
 * @param sha256 the SHA-256 hash of the key
 */
public record AccessKey<T>(T owner, byte[] sha256) {

	private static final int HASH_CHARACTERS = 64;

	/**
	 * Finds whom a key belongs to.
	 * <p>
	 * Every hash is compared, each in constant time, so that the time taken tells a
	 * guesser neither how much of a key is right nor which teams there are.
	 * @param <T> the type of the owner
	 * @param keys the keys known
	 * @param key the key given
	 * @return the owner, or empty if the key is not known
	 */
	public static <T> Optional<T> owner(List<AccessKey<T>> keys, String key) {
		byte[] hash = Digests.sha256(key);
		T found = null;
		for (AccessKey<T> each : keys) {
			if (MessageDigest.isEqual(each.sha256(), hash)) {
				found = each.owner();
			}
		}
		return Optional.ofNullable(found);
	}

	static <T> AccessKey<T> read(YamlNode node, T owner) {
		byte[] hash = node.convert("keySha256", (text) -> {
			if (text.length() != HASH_CHARACTERS) {
				throw new IllegalArgumentException("must be a SHA-256 hash of " + HASH_CHARACTERS + " hex digits");
			}
			return HexFormat.of().parseHex(text);
		});
		return new AccessKey<>(owner, hash);
	}

}
