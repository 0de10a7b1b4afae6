package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.serve.EngineReport;
import org.gullsaddle.serve.ReplicaSelector;

/**
 * Asks a few engines for their load before one of them is chosen for a request. Confined
 * to the event loop.
 * <p>
 * With many nodes, each node sees an answer of an engine only every few seconds, and
 * several nodes take the same engine for idle at once. Fresh loads of two or three
 * candidates balance the queues nearly as well as the loads of all engines would.
 */
final class LoadProbe {

	/** Time within which engines must report, in milliseconds. */
	private static final long TIMEOUT_MILLIS = 60;

	/** Largest report, in bytes: several times that of an engine with all slots busy. */
	private static final int MAX_REPORT_BYTES = 65_536;

	private final Vertx vertx;

	private final ReplicaConnections connections;

	private final HeaderCodec codec;

	private final ReplicaSelector replicaSelector;

	private final BackpressureController backpressure;

	private final DecisionLog log;

	private int sentCount;

	private int failedCount;

	LoadProbe(Vertx vertx, ReplicaConnections connections, HeaderCodec codec, ReplicaSelector replicaSelector,
			BackpressureController backpressure, DecisionLog log) {
		this.vertx = vertx;
		this.log = log;
		this.connections = connections;
		this.codec = codec;
		this.replicaSelector = replicaSelector;
		this.backpressure = backpressure;
	}

	/**
	 * Asks engines for their load and passes the reports to the replica selector.
	 * @param replicas the engines
	 * @param then receives those that reported in time, possibly none
	 */
	void probe(List<Replica> replicas, Consumer<List<Replica>> then) {
		List<Future<Boolean>> answers = replicas.stream()
			.map((replica) -> probe(replica, TIMEOUT_MILLIS).map(Optional::isPresent))
			.toList();
		Future.join(answers).onComplete((all) -> {
			List<Replica> reported = new ArrayList<>();
			for (int i = 0; i < answers.size(); i++) {
				if (answers.get(i).result()) {
					reported.add(replicas.get(i));
				}
			}
			then.accept(reported);
		});
	}

	/**
	 * Returns the number of probes sent since the start.
	 */
	int sentCount() {
		return this.sentCount;
	}

	/**
	 * Returns the number of probes that timed out or failed.
	 */
	int failedCount() {
		return this.failedCount;
	}

	/**
	 * Asks one engine for its load and passes the report to the replica selector.
	 * @param replica the engine
	 * @param waitMillis time within which it must report, in milliseconds
	 * @return the report, empty if none came in time
	 */
	Future<Optional<EngineReport>> probe(Replica replica, long waitMillis) {
		this.sentCount++;
		Promise<EngineReport> answer = Promise.promise();
		long timer = this.vertx.setTimer(waitMillis, (id) -> answer.tryFail("nothing in " + waitMillis + " ms"));
		answer.future().onComplete((done) -> this.vertx.cancelTimer(timer));
		this.connections.connect(replica).onComplete((channel, unreachable) -> {
			if (unreachable != null) {
				this.replicaSelector.onUnreachable(MonotonicClock.millis(), replica);
				answer.tryFail("unreachable");
				return;
			}
			answer.future().onComplete((done) -> channel.close());
			if (!this.backpressure.canProbe(replica)) {
				answer.tryFail("asks for fewer requests");
			}
			else if (!answer.future().isComplete()) {
				requestReport(replica, channel).onComplete(answer::tryComplete, answer::tryFail);
			}
		});
		return answer.future()
			.map((report) -> onReport(replica, report))
			.otherwise((failure) -> onFailure(replica, failure.getMessage()));
	}

	private Optional<EngineReport> onReport(Replica replica, EngineReport report) {
		this.replicaSelector.onLoadReport(MonotonicClock.millis(), replica, report);
		return Optional.of(report);
	}

	private Optional<EngineReport> onFailure(Replica replica, String reason) {
		this.failedCount++;
		this.log.loadProbeFailed(replica.id(), reason);
		return Optional.empty();
	}

	private Future<EngineReport> requestReport(Replica replica, ReplicaConnections.Channel channel) {
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setURI(this.codec.loadReportPath());
		return channel.connection().request(options).compose(HttpClientRequest::send).compose((response) -> {
			ReplicaAnswer answer = this.codec.read(response);
			if (answer.attemptId().isPresent()) {
				return Future.failedFuture("answer to another request");
			}
			this.backpressure.onAnswer(replica, answer);
			answer.slowdownPercent()
				.ifPresent(
						(percent) -> this.replicaSelector.onSlowdownReport(MonotonicClock.millis(), replica, percent));
			return BoundedBody.read(response, MAX_REPORT_BYTES).compose((body) -> parseReport(answer, body));
		});
	}

	private Future<EngineReport> parseReport(ReplicaAnswer answer, Buffer body) {
		Optional<EngineReport> report = answer.isSuccess() ? this.codec.readLoadReport(body) : Optional.empty();
		if (report.isEmpty()) {
			return Future.failedFuture("no report, but status " + answer.status());
		}
		return Future.succeededFuture(report.get());
	}

}
