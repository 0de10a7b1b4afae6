package org.gullsaddle.gateway;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.SendPermission;

/**
 * One attempt at one replica, over one connection. Notifies its listener of the head, the
 * bytes of the body and, exactly once, the end.
 */
final class Attempt {

	private static final String CHUNKED = "chunked";

	private static final String NO_FINAL_ANSWER = "no final answer";

	/** Lowest status of a final answer. */
	private static final int MIN_FINAL_STATUS = 200;

	/** Most heads that may precede a final answer. */
	private static final int MAX_INTERIM_HEADS = 100;

	private final ReplicaChoice choice;

	private final SendPermission sendPermission;

	private final long coldMillis;

	private final ReplicaConnections connections;

	private final HeaderCodec codec;

	private final Listener listener;

	private final String attemptId;

	private final long startedAt = MonotonicClock.millis();

	private ReplicaConnections.Channel channel;

	private ReplicaAnswer answer;

	private HttpClientResponse response;

	private final Set<PauseReason> pauseReasons = EnumSet.noneOf(PauseReason.class);

	/** When the answer was last resumed after a pause for its caller. */
	private long resumedAt = this.startedAt;

	private boolean sent;

	private boolean ended;

	/** Whether the connection broke. */
	private boolean connectionLost;

	/** Whether connecting failed because nothing listens at the address. */
	private boolean connectionRefused;

	/** When the first bytes of the body arrived, negative before. */
	private long bodyAt = -1;

	private boolean bodyLastedReported;

	private int interimHeads;

	/** Whether the answer had no length and ended when its connection closed. */
	private boolean endedWithConnection;

	private long lastByteAt = this.startedAt;

	private long headAt = this.startedAt;

	Attempt(ReplicaChoice choice, SendPermission sendPermission, long coldMillis, String attemptId,
			ReplicaConnections connections, HeaderCodec codec, Listener listener) {
		this.choice = choice;
		this.sendPermission = sendPermission;
		this.coldMillis = coldMillis;
		this.attemptId = attemptId;
		this.connections = connections;
		this.codec = codec;
		this.listener = listener;
	}

	/**
	 * Sends the request on a new connection.
	 */
	void send(HttpMethod method, String uri, MultiMap headers, Buffer body) {
		this.connections.connect(this.choice.replica()).onComplete((taken, failure) -> {
			if (failure != null) {
				this.connectionRefused = ReplicaConnections.isConnectionRefused(failure);
				end(new AttemptEnd.NotRun(true, "unreachable"));
				return;
			}
			this.channel = taken;
			if (this.ended) {
				taken.close();
				return;
			}
			if (!this.listener.canStillSend(this)) {
				taken.close();
				end(new AttemptEnd.NotRun(false, "replica takes no more requests"));
				return;
			}
			RequestOptions options = new RequestOptions().setMethod(method).setURI(uri);
			taken.connection().request(options).onComplete((request, refused) -> {
				if (refused != null) {
					taken.close();
					end(new AttemptEnd.NotRun(true, "connection closed before sending"));
				}
				else if (!this.ended) {
					send(request, headers, body);
				}
			});
		});
	}

	private void send(HttpClientRequest request, MultiMap headers, Buffer body) {
		try {
			request.headers().setAll(headers);
		}
		catch (IllegalArgumentException ex) {
			this.channel.close();
			end(new AttemptEnd.NotRun(false, "a header cannot be sent"));
			return;
		}
		this.sent = true;
		request.exceptionHandler((failure) -> onConnectionLost("connection broke"));
		request.continueHandler((nothing) -> onInterimHead());
		request.earlyHintsHandler((hints) -> onInterimHead());
		request.response().onComplete((response, failure) -> {
			if (failure != null) {
				onConnectionLost("no answer: " + failure.getMessage());
			}
			else {
				onResponse(response);
			}
		});
		if (body.length() == 0) {
			request.end();
		}
		else {
			request.end(body);
		}
	}

	private void onInterimHead() {
		this.interimHeads++;
		if (this.interimHeads > MAX_INTERIM_HEADS) {
			fail(NO_FINAL_ANSWER);
		}
	}

	private void onResponse(HttpClientResponse response) {
		this.lastByteAt = MonotonicClock.millis();
		this.headAt = this.lastByteAt;
		if (this.ended) {
			return;
		}
		this.response = response;
		this.answer = this.codec.read(response);
		if (this.answer.status() < MIN_FINAL_STATUS) {
			fail(NO_FINAL_ANSWER);
			return;
		}
		boolean ours = this.answer.attemptId().isEmpty() ? !this.answer.isSuccess()
				: this.answer.attemptId().get().equals(this.attemptId);
		if (!ours) {
			fail("answer to another request");
			return;
		}
		this.listener.onAnswer(this, this.answer);
		if (this.answer.isSuccess() && (!this.answer.signed() || this.answer.encoded())) {
			fail("answer is not the replica's");
			return;
		}
		if (wasNotRun()) {
			// The head has said all: the body may be slow, broken or without end.
			this.channel.close();
			end(new AttemptEnd.NotRun(false, "refused with " + this.answer.status()));
			return;
		}
		response.exceptionHandler((failure) -> onConnectionLost("answer broke off"));
		response.handler((bytes) -> {
			this.lastByteAt = MonotonicClock.millis();
			this.bodyAt = (this.bodyAt < 0) ? this.lastByteAt : this.bodyAt;
			if (!this.ended) {
				this.listener.onData(this, bytes);
			}
		});
		response.endHandler((nothing) -> onBodyEnd());
		this.listener.onHead(this, this.answer, response.headers());
	}

	private boolean wasNotRun() {
		return this.answer.notRun() || isMisdirected();
	}

	/**
	 * Returns whether a process answered for which the request was not meant.
	 */
	boolean isMisdirected() {
		return this.answer != null && this.answer.status() == HttpStatuses.MISDIRECTED;
	}

	/**
	 * Returns whether the answer had neither a length nor chunks and ended with its
	 * connection, so that it may be incomplete.
	 */
	boolean hasEndedWithConnection() {
		return this.endedWithConnection;
	}

	/**
	 * Returns whether an answer's end is marked by its length or last chunk. If the last
	 * transfer coding is not chunked, it ends with its connection (RFC 9112, 6.3).
	 */
	static boolean isFramed(MultiMap headers) {
		List<String> codings = headers.getAll(HttpHeaders.TRANSFER_ENCODING);
		if (codings.isEmpty()) {
			return headers.contains(HttpHeaders.CONTENT_LENGTH);
		}
		String last = codings.get(codings.size() - 1);
		return last.substring(last.lastIndexOf(',') + 1).strip().equalsIgnoreCase(CHUNKED);
	}

	/**
	 * Returns true once, when the body has been arriving for a given time.
	 */
	boolean checkBodyLasted(long millis) {
		if (this.bodyLastedReported || this.bodyAt < 0 || this.lastByteAt - this.bodyAt < millis) {
			return false;
		}
		this.bodyLastedReported = true;
		return true;
	}

	/**
	 * Returns whether the replica answers with a failure of its own.
	 */
	boolean hasFailed() {
		return new AttemptEnd.Answered(this.answer.status()).hasFailed();
	}

	/**
	 * Returns whether the connection broke before the answer was complete.
	 */
	boolean isConnectionLost() {
		return this.connectionLost;
	}

	/**
	 * Returns whether connecting failed because nothing listens at the address.
	 */
	boolean isConnectionRefused() {
		return this.connectionRefused;
	}

	/**
	 * Handles the end of the body. An answer without a length ends with its connection;
	 * if that was reset, bytes may be missing and the HTTP library still reports a normal
	 * end, but the connection reports its error before.
	 */
	private void onBodyEnd() {
		if (this.ended) {
			return;
		}
		if (this.channel.hasFailed()) {
			onConnectionLost("connection broke in an answer without a length");
			return;
		}
		this.endedWithConnection = !isFramed(this.response.headers());
		this.channel.close();
		end(new AttemptEnd.Answered(this.answer.status()));
	}

	private void onConnectionLost(String reason) {
		this.connectionLost = true;
		fail(reason);
	}

	private void fail(String reason) {
		if (this.channel != null) {
			this.channel.close();
		}
		end(new AttemptEnd.Broken(reason));
	}

	/**
	 * Cancels the attempt by closing its connection, which stops the replica's work.
	 * @param end its end if anything was sent
	 */
	void withdraw(AttemptEnd end) {
		if (this.ended) {
			return;
		}
		if (this.channel != null) {
			this.channel.close();
		}
		end(this.sent ? end : new AttemptEnd.NotRun(false, "given up before sending"));
	}

	/**
	 * Pauses reading the answer; its head must have arrived.
	 */
	void pause(PauseReason reason) {
		this.pauseReasons.add(reason);
		this.response.pause();
	}

	/**
	 * Removes a reason to pause and resumes reading if none is left.
	 */
	void resume(PauseReason reason) {
		this.pauseReasons.remove(reason);
		if (reason == PauseReason.SLOW_CALLER) {
			this.resumedAt = MonotonicClock.millis();
		}
		if (this.pauseReasons.isEmpty()) {
			this.response.resume();
		}
	}

	/**
	 * Returns since when the answer is read without a pause for its caller.
	 */
	long readSince() {
		return this.pauseReasons.contains(PauseReason.SLOW_CALLER) ? MonotonicClock.millis() : this.resumedAt;
	}

	boolean hasEnded() {
		return this.ended;
	}

	private void end(AttemptEnd end) {
		if (!this.ended) {
			this.ended = true;
			this.listener.onEnded(this, end);
		}
	}

	ReplicaChoice choice() {
		return this.choice;
	}

	/**
	 * Returns the permission that was given when the replica was chosen.
	 */
	SendPermission sendPermission() {
		return this.sendPermission;
	}

	/**
	 * Returns how much longer the replica stayed cold when it was chosen, 0 if it was
	 * warm.
	 */
	long coldMillis() {
		return this.coldMillis;
	}

	ReplicaAnswer answer() {
		return this.answer;
	}

	/**
	 * Returns the model's confidence in its answer, 0 to 100, or -1 if not reported.
	 */
	int confidence() {
		return (this.answer != null) ? this.answer.confidence().orElse(-1) : -1;
	}

	long startedAt() {
		return this.startedAt;
	}

	/**
	 * Returns when the head of the answer arrived.
	 */
	long headAt() {
		return this.headAt;
	}

	/**
	 * Returns the latest of: the last bytes, the start of the attempt, and the end of the
	 * last pause. A replica that this node does not read is not silent.
	 */
	long lastByteAt() {
		return Math.max(this.lastByteAt, readSince());
	}

	/**
	 * Reason to pause reading an answer.
	 */
	enum PauseReason {

		/** The model's confidence is low, and the answer may be dropped. */
		LOW_CONFIDENCE,

		/** The caller reads slowly. */
		SLOW_CALLER

	}

	/**
	 * Receives the events of an attempt.
	 */
	interface Listener {

		/**
		 * Returns whether the request may still be sent to the replica: opening a
		 * connection takes time, and meanwhile the replica may be stopping or ask for
		 * fewer requests.
		 */
		boolean canStillSend(Attempt attempt);

		/**
		 * Handles the head of every answer, also of one that says that the request was
		 * not run.
		 */
		void onAnswer(Attempt attempt, ReplicaAnswer answer);

		void onHead(Attempt attempt, ReplicaAnswer answer, MultiMap headers);

		void onData(Attempt attempt, Buffer bytes);

		void onEnded(Attempt attempt, AttemptEnd end);

	}

}
