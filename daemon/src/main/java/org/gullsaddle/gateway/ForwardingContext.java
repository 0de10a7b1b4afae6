package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.fleet.ReplicaId;

/**
 * What the gateway adds to a caller's request when it forwards it to a replica.
 *
 * @param target the intended replica; another process at its address must not run the
 * request
 * @param remainingMillis time until the deadline, in milliseconds
 * @param team the caller's team, if it presented an API key
 * @param model the model to run, empty to keep the caller's
 * @param urgency the urgency of a generation, 0 is served first, empty for a plain
 * service
 * @param lastEventId the id of the last event that the caller received, if a stream is
 * resumed
 */
public record ForwardingContext(ReplicaId target, long remainingMillis, Optional<TeamId> team, String model,
		OptionalInt urgency, Optional<String> lastEventId) {

	static ForwardingContext of(ServedRequest request, ReplicaId target, long leftMillis, String model,
			OptionalInt urgency, Optional<String> lastEvent) {
		return new ForwardingContext(target, leftMillis, request.team(),
				request.route().models().isEmpty() ? "" : model, urgency, lastEvent);
	}

}
