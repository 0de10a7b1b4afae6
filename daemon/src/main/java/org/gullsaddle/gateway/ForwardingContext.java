package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.fleet.ReplicaId;

/**
 * What a replica is told beside the caller's own request.
 *
 * @param target the replica that is meant; another one at its address must not run it
 * @param remainingMillis how long the answer is still of use, in milliseconds
 * @param team the caller's team, if it presented a key
 * @param model the model to run, empty to leave the caller's
 * @param urgency the request's urgency, 0 goes first, if it is a generation
 * @param lastEventId the last event that the caller has, if the run goes on with a stream
 */
public record ForwardingContext(ReplicaId target, long remainingMillis, Optional<TeamId> team, String model,
		OptionalInt urgency, Optional<String> lastEventId) {

	static ForwardingContext of(ServedRequest request, ReplicaId target, long leftMillis, String model,
			OptionalInt urgency, Optional<String> lastEvent) {
		return new ForwardingContext(target, leftMillis, request.team(),
				request.route().models().isEmpty() ? "" : model, urgency, lastEvent);
	}

}
