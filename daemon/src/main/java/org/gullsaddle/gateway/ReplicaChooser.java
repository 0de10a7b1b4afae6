package org.gullsaddle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.Choice;
import org.gullsaddle.serve.ReplicaPicker;
import org.gullsaddle.serve.Task;

/**
 * Chooses the replicas that one request goes to.
 */
final class ReplicaChooser {

	private final Gateway gateway;

	private final ServedRequest request;

	ReplicaChooser(Gateway gateway, ServedRequest request) {
		this.gateway = gateway;
		this.request = request;
	}

	/**
	 * Returns the replicas that the request may go to now.
	 */
	List<Replica> usable() {
		return this.gateway.fleet().replicas(Clock.millis(), this.request.service(), this.request.releaseKey());
	}

	/**
	 * Chooses a replica for a task, after some were asked for their load where too little
	 * is known of it.
	 * @param without replicas that are left out
	 * @param then is given the choice, at once or when the replicas have told
	 */
	void choose(Task task, Set<ReplicaId> without, Consumer<Optional<Choice>> then) {
		List<Replica> asked = picker().toAsk(Clock.millis(), usable(), without, task);
		if (asked.isEmpty()) {
			then.accept(picker().pick(Clock.millis(), usable(), without, task));
			return;
		}
		this.gateway.probe().ask(asked, (told) -> {
			List<Replica> left = withoutSilent(asked, told);
			then.accept(picker().pick(Clock.millis(), left.isEmpty() ? usable() : left, without, task));
		});
	}

	private List<Replica> withoutSilent(List<Replica> asked, List<Replica> told) {
		Set<ReplicaId> silent = asked.stream().map(Replica::id).collect(Collectors.toSet());
		told.forEach((replica) -> silent.remove(replica.id()));
		return usable().stream().filter((replica) -> !silent.contains(replica.id())).toList();
	}

	private ReplicaPicker picker() {
		return this.gateway.decisions().picker();
	}

}
