package org.gullsaddle.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.base.Digests;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.controller.RegisterController;
import org.gullsaddle.register.Entry;
import org.gullsaddle.register.Operation;
import org.gullsaddle.route.RouterAction;

/**
 * Keeps the version that each session is pinned to: in a signed token that the caller
 * sends back, and in the store for callers that send only the session id. Thread-safe.
 */
final class SessionRegistry {

	private static final long PIN_TIMEOUT_MILLIS = 1500;

	private static final int MAX_CACHED_PINS = 50_000;

	private final Map<String, ModelVersion> pinnedVersions = new LinkedHashMap<>(16, 0.75F, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ModelVersion> eldest) {
			return size() > MAX_CACHED_PINS;
		}
	};

	private final RegisterController register;

	private final byte[] signingKey;

	SessionRegistry(RegisterController register, byte[] key) {
		this.register = register;
		this.signingKey = key.clone();
	}

	/**
	 * Pins a session to a version. The result is empty if the store does not answer. A
	 * pin cached here needs no store: a version changes only when it is withdrawn, and
	 * then the router asks to replace it.
	 */
	Single<Optional<ModelVersion>> pin(RouterAction.PinSession pin) {
		String name = pin.team() + "/" + pin.template() + "/" + pin.session();
		ModelVersion cached = cachedVersion(name);
		if (cached != null && !cached.equals(pin.replaced())) {
			return Single.just(Optional.of(cached));
		}
		String nonce = UUID.randomUUID().toString();
		String value = pin.proposed().toString();
		Operation operation = (pin.replaced() != null)
				? new Operation.Replace(name, nonce, value, pin.replaced().toString())
				: new Operation.Put(name, nonce, value);
		return this.register.submit(operation, PIN_TIMEOUT_MILLIS)
			.map((entry) -> entry.map(Entry::value).map(ModelVersion::of))
			.doOnSuccess((version) -> version.ifPresent((pinned) -> cacheVersion(name, pinned)))
			.onErrorReturnItem(Optional.empty());
	}

	private synchronized ModelVersion cachedVersion(String name) {
		return this.pinnedVersions.get(name);
	}

	private synchronized void cacheVersion(String name, ModelVersion version) {
		this.pinnedVersions.put(name, version);
	}

	String createToken(TeamId team, TemplateName template, SessionId session, ModelVersion version) {
		String text = String.join("|", team.value(), template.value(), session.value(), version.toString());
		return encode(text.getBytes(StandardCharsets.UTF_8)) + "." + encode(sign(text));
	}

	/**
	 * Reads a token. The result is empty if the token is malformed, not signed with the
	 * key, or issued for another team or template.
	 */
	Optional<SessionToken> readToken(String token, TeamId team, TemplateName template) {
		int dot = token.indexOf('.');
		if (dot <= 0) {
			return Optional.empty();
		}
		try {
			String text = new String(Base64.getUrlDecoder().decode(token.substring(0, dot)), StandardCharsets.UTF_8);
			byte[] signature = Base64.getUrlDecoder().decode(token.substring(dot + 1));
			String[] parts = text.split("\\|", -1);
			if (!MessageDigest.isEqual(signature, sign(text)) || parts.length != 4 || !parts[0].equals(team.value())
					|| !parts[1].equals(template.value())) {
				return Optional.empty();
			}
			return Optional.of(new SessionToken(new SessionId(parts[2]), ModelVersion.of(parts[3])));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private byte[] sign(String text) {
		return Digests.hmac(this.signingKey, text);
	}

	private static String encode(byte[] bytes) {
		return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
	}

	/**
	 * The content of a signed token.
	 */
	record SessionToken(SessionId session, ModelVersion version) {
	}

}
