package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.Team;

/**
 * Queues requests until there is a configuration, refuses them, or starts to serve them.
 * Confined to the event loop.
 */
final class RequestDispatcher {

	/** Reason of refusals and failures that are this node's own fault. */
	static final String INTERNAL_ERROR = "internal error";

	private final Vertx vertx;

	private final Gateway gateway;

	private final StartupRequestQueue startupQueue = new StartupRequestQueue();

	RequestDispatcher(Vertx vertx, Gateway gateway) {
		this.vertx = vertx;
		this.gateway = gateway;
	}

	/**
	 * Returns the number of requests that wait for the configuration.
	 */
	int heldCount() {
		return this.startupQueue.count();
	}

	/**
	 * Releases the requests that wait for the configuration.
	 */
	void releaseHeld() {
		this.startupQueue.release();
	}

	/**
	 * Dispatches a request whose body is complete. A node that lags may read it after its
	 * caller has left; it then waits for the next turn of the event loop, which would
	 * read the close of the connection, so that no replica works for a caller that has
	 * left.
	 */
	void dispatch(HttpServerRequest request, CallerRequest caller, Buffer body, long startedAt) {
		Runnable serve = () -> serveOrRefuse(request, caller, body, startedAt, false);
		if (this.gateway.stallDetector().isBehind(MonotonicClock.millis())) {
			// A due timer may still run in this turn; a timer set by it does not.
			this.vertx.setTimer(1, (first) -> this.vertx.setTimer(1, (second) -> serve.run()));
		}
		else {
			serve.run();
		}
	}

	/**
	 * Serves a request. One that cannot be served because of a fault of this node is
	 * refused at once and has not run: its execution handles its own failures.
	 */
	private void serveOrRefuse(HttpServerRequest request, CallerRequest caller, Buffer body, long startedAt,
			boolean checked) {
		boolean handled = this.gateway.guard().run("dispatch", () -> serve(request, caller, body, startedAt, checked));
		if (!handled && !request.response().ended() && !request.response().closed()) {
			sendRefusal(new CallerAnswerWriter(request.response(), this.gateway::isStopping), caller,
					HttpStatuses.SERVICE_UNAVAILABLE, Optional.of(this.gateway.routingState().retryAfterMillis()),
					INTERNAL_ERROR);
		}
	}

	/**
	 * Serves or refuses a request.
	 * @param checked whether the configuration was reread for it
	 */
	private void serve(HttpServerRequest request, CallerRequest caller, Buffer body, long startedAt, boolean checked) {
		CallerAnswerWriter writer = new CallerAnswerWriter(request.response(), this.gateway::isStopping);
		Optional<FleetConfig> config = this.gateway.fleet().config();
		if (request.response().closed() || request.response().ended()) {
			return;
		}
		if (config.isEmpty() && !this.gateway.isStopping()
				&& this.startupQueue.offer(() -> serveOrRefuse(request, caller, body, startedAt, checked))) {
			return;
		}
		if (config.isEmpty()) {
			sendRefusal(writer, caller, HttpStatuses.SERVICE_UNAVAILABLE,
					Optional.of(this.gateway.routingState().retryAfterMillis()), "no configuration yet");
			return;
		}
		Optional<Route> route = config.get().findRoute(caller.host(), caller.path());
		boolean keyed = config.get().isKeyRequired() && route.isPresent() && !route.get().isOpen();
		Optional<Team> team = keyed ? caller.apiKey().flatMap(config.get()::findTeam) : Optional.empty();
		boolean allowed = route.isPresent() && !(keyed && team.isEmpty());
		if (!checked && this.gateway.configRefresher().isDue(allowed)) {
			this.gateway.configRefresher().refresh(() -> serveOrRefuse(request, caller, body, startedAt, true));
			return;
		}
		if (!allowed) {
			refuse(writer, caller, route.isEmpty());
			return;
		}
		if (!this.gateway.drainPolicy().accepts(route.get(), MonotonicClock.millis())) {
			refuseStopping(request, caller);
			return;
		}
		ServedRequest served = ServedRequest.of(request)
			.caller(caller, team)
			.routing(config.get(), route.get(),
					this.gateway.routingState().service(route.get(), caller.attemptId().orElse("")))
			.body(body)
			.time(startedAt, this.gateway.drainPolicy().latestAnswerAt(route.get()))
			.build();
		if (this.gateway.settings().load().pressure() && !served.fitsReplicaMemory()) {
			sendRefusal(writer, caller, HttpStatuses.SERVICE_UNAVAILABLE,
					Optional.of(this.gateway.routingState().retryAfterMillis()), "larger than a replica's memory");
			return;
		}
		RequestExecution execution = new RequestExecution(this.gateway, served);
		if (!this.gateway.guard().run("request start", execution::start)) {
			execution.onInternalError();
		}
	}

	/**
	 * Refuses a request that has not run because the process ends.
	 */
	void refuseStopping(HttpServerRequest request, CallerRequest caller) {
		CallerAnswerWriter writer = new CallerAnswerWriter(request.response(), () -> true);
		boolean noNodeReady = this.gateway.connections().isLate(request.connection());
		long restartMillis = noNodeReady ? this.gateway.drainPolicy().retryAfterMillis(MonotonicClock.millis()) : 0;
		sendRefusal(writer, caller, HttpStatuses.SERVICE_UNAVAILABLE,
				Optional.of(restartMillis + this.gateway.routingState().retryAfterMillis()), "stopping");
	}

	/**
	 * Refuses a request that the known configuration does not allow: for good only if no
	 * newer configuration may allow it.
	 */
	private void refuse(CallerAnswerWriter writer, CallerRequest caller, boolean noRoute) {
		if (this.gateway.configRefresher().isDue(false)) {
			sendRefusal(writer, caller, HttpStatuses.SERVICE_UNAVAILABLE,
					Optional.of(this.gateway.routingState().retryAfterMillis()), "the configuration may have changed");
		}
		else if (noRoute) {
			sendRefusal(writer, caller, HttpStatuses.NOT_FOUND, Optional.empty(), "no route");
		}
		else {
			sendRefusal(writer, caller, HttpStatuses.UNAUTHORIZED, Optional.empty(), "unknown key");
		}
	}

	/**
	 * Refuses a request that no route accepted.
	 * @param retryAfter when the caller may retry, in milliseconds
	 */
	void sendRefusal(CallerAnswerWriter writer, CallerRequest caller, int status, Optional<Long> retryAfter,
			String reason) {
		writer.writeError(status, retryAfter, reason);
		long version = this.gateway.fleet().config().map(FleetConfig::version).orElse(0L);
		this.gateway.log()
			.request(new DecisionLog.RequestLine(caller.attemptId().orElse(""), "", "", "", "refused", status, reason,
					"not-run", 0, false, retryAfter.orElse(-1L), 0, version,
					this.gateway.fleet().ageMillis(MonotonicClock.millis()), 0));
		this.gateway.telemetry().count("refused." + status);
	}

}
