package org.gullsaddle.entry;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;

import io.reactivex.rxjava3.core.Single;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.Json;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.controller.RegisterController;
import org.gullsaddle.register.Entry;
import org.gullsaddle.register.Operation;
import org.gullsaddle.route.CallOutcome;
import org.gullsaddle.route.ClaimResult;

/**
 * Claims idempotency keys for requests. The claims are shared by all entries through the
 * store. Thread-safe.
 */
final class ClaimRegistry {

	private static final Logger LOG = LoggerFactory.getLogger(ClaimRegistry.class);

	private static final long CLAIM_TIMEOUT_MILLIS = 1500;

	/**
	 * An outcome with a longer text is not stored; a repeated call is told that it may
	 * have run.
	 */
	private static final int MAX_STORED_TEXT_CHARACTERS = 32_768;

	private final RegisterController register;

	private final Map<RequestId, PendingClaim> pendingClaims = new ConcurrentHashMap<>();

	ClaimRegistry(RegisterController register) {
		this.register = register;
	}

	Single<ClaimResult> claim(RequestId request, TeamId team, String key, Fingerprint content) {
		String nonce = UUID.randomUUID().toString();
		this.pendingClaims.put(request, new PendingClaim(nonce, content));
		String value = Json.write(new Claim(request, content, null));
		return this.register.submit(new Operation.Put(registerKey(team, key), nonce, value), CLAIM_TIMEOUT_MILLIS)
			.map((entry) -> toResult(entry, nonce, content))
			.onErrorReturnItem(new ClaimResult.Unavailable())
			.doOnSuccess((answer) -> {
				if (!(answer instanceof ClaimResult.Granted)) {
					this.pendingClaims.remove(request);
				}
			});
	}

	void complete(RequestId request, TeamId team, String key, CallOutcome outcome) {
		PendingClaim claimed = this.pendingClaims.remove(request);
		if (claimed == null || outcome.text().length() > MAX_STORED_TEXT_CHARACTERS) {
			return;
		}
		String value = Json.write(new Claim(request, claimed.content(), outcome));
		submitWithoutTimeout(request, new Operation.Update(registerKey(team, key), claimed.nonce(), value));
	}

	void release(RequestId request, TeamId team, String key) {
		PendingClaim claimed = this.pendingClaims.remove(request);
		if (claimed != null) {
			submitWithoutTimeout(request, new Operation.Remove(registerKey(team, key), claimed.nonce()));
		}
	}

	private void submitWithoutTimeout(RequestId request, Operation operation) {
		this.register.submit(operation, Long.MAX_VALUE)
			.subscribe((entry) -> LOG.atDebug().addKeyValue("request", request).log("claim updated"),
					(failure) -> LOG.atWarn().addKeyValue("request", request).log("claim could not be updated"));
	}

	private static ClaimResult toResult(Optional<Entry> entry, String nonce, Fingerprint content) throws IOException {
		if (entry.isEmpty()) {
			return new ClaimResult.Unavailable();
		}
		if (entry.get().nonce().equals(nonce)) {
			return new ClaimResult.Granted();
		}
		Claim claim = Json.read(entry.get().value(), Claim.class);
		if (!claim.content().equals(content)) {
			return new ClaimResult.ContentDiffers();
		}
		return (claim.outcome() != null) ? new ClaimResult.Finished(claim.outcome()) : new ClaimResult.InUse();
	}

	private static String registerKey(TeamId team, String key) {
		return team + "/" + key;
	}

	/**
	 * A claim that this node made and has not completed or released.
	 */
	private record PendingClaim(String nonce, Fingerprint content) {
	}

	/**
	 * The value stored under an idempotency key; the outcome is null until completion.
	 */
	record Claim(RequestId request, Fingerprint content, CallOutcome outcome) {
	}

}
