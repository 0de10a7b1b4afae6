package org.gullsaddle.entry;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.Router;
import org.gullsaddle.route.RouterAction;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.telemetry.NodeClock;
import org.gullsaddle.wire.Frame;

/**
 * Holds a share of the entry's requests under its own lock, and executes the actions that
 * its {@link Router} decides on.
 */
final class RouterShard {

	private final Router router;

	private final EntryServices services;

	private final NodeClock clock;

	private final Map<RequestId, CallerResponse> responses = new HashMap<>();

	private final Map<RequestId, CurrentAttempt> currentAttempts = new HashMap<>();

	private final Queue<RouterEvent> pendingEvents = new ArrayDeque<>();

	private boolean handling;

	RouterShard(Router router, EntryServices services, NodeClock clock) {
		this.router = router;
		this.services = services;
		this.clock = clock;
	}

	synchronized void submit(IncomingRequest request, CallerResponse response) {
		this.responses.put(request.id(), response);
		handle(new RouterEvent.RequestArrived(request));
	}

	/**
	 * Passes an event to the router and executes the resulting actions in order. An event
	 * that an action raises synchronously is queued until these actions are done.
	 */
	synchronized void handle(RouterEvent event) {
		this.pendingEvents.add(event);
		if (this.handling) {
			return;
		}
		this.handling = true;
		try {
			while (!this.pendingEvents.isEmpty()) {
				RouterEvent next = this.pendingEvents.poll();
				boolean delivered = false;
				for (RouterAction action : this.router.handle(this.clock.now(), next)) {
					execute(action);
					delivered |= action instanceof RouterAction.Deliver;
				}
				if (next instanceof RouterEvent.AttemptChunk chunk && !delivered) {
					// The chunk is kept for a rating, or its attempt no longer counts.
					// No caller reads it, so the credit is returned here.
					sendCredit(chunk.attempt().request(), chunk.text().length());
				}
			}
		}
		finally {
			this.handling = false;
		}
	}

	synchronized List<SuspectContent> suspects() {
		return this.router.suspects();
	}

	synchronized int openRequestCount() {
		return this.router.openRequestCount();
	}

	private void execute(RouterAction action) {
		switch (action) {
			case RouterAction.Claim claim -> this.services.claims()
				.claim(claim.request(), claim.team(), claim.key(), claim.content())
				.subscribe((result) -> handle(new RouterEvent.ClaimCompleted(claim.request(), result)));
			case RouterAction.CompleteClaim completion -> this.services.claims()
				.complete(completion.request(), completion.team(), completion.key(), completion.outcome());
			case RouterAction.ReleaseClaim release ->
				this.services.claims().release(release.request(), release.team(), release.key());
			case RouterAction.PinSession pin -> this.services.sessions()
				.pin(pin)
				.subscribe((version) -> handle(new RouterEvent.PinCompleted(pin.request(), version)));
			case RouterAction.Send send -> send(send);
			case RouterAction.Cancel cancel -> this.services.send(cancel.agent(), new Frame.Cancel(cancel.attempt()));
			case RouterAction.Deliver deliver -> deliver(deliver);
			case RouterAction.Complete complete -> this.responses.get(complete.request())
				.complete(complete.servedBy(), complete.completion(), complete.costMicros());
			case RouterAction.Refuse refuse -> this.responses.get(refuse.request()).refuse(refuse.refusal());
			case RouterAction.RateAnswer rate -> this.services.ratingClient()
				.rate(rate.version(), rate.prompt(), rate.answer())
				.subscribe((score) -> handle(new RouterEvent.AnswerRated(rate.attempt(), score)));
			case RouterAction.AnnounceSuspect suspect -> this.services.announceSuspect(suspect.suspicion());
			case RouterAction.AnnounceHalt announce -> this.services.announceHalt(announce.halt());
			case RouterAction.WriteRecordBeforeAnswer early -> this.services.writeRecordBeforeAnswer(early.record());
			case RouterAction.WriteRecord write -> {
				this.responses.remove(write.record().request());
				this.currentAttempts.remove(write.record().request());
				this.services.writeRecord(write.record());
			}
		}
	}

	private void send(RouterAction.Send send) {
		AttemptId attempt = send.dispatch().attempt();
		this.currentAttempts.put(attempt.request(), new CurrentAttempt(send.agent(), attempt));
		if (!this.services.dispatch(send.agent(), send.dispatch())) {
			// Without a link nothing was sent, so the attempt cannot have run.
			handle(new RouterEvent.AttemptFailed(attempt, Verdict.NOT_RUN, false, Usage.NONE));
		}
	}

	private void deliver(RouterAction.Deliver deliver) {
		int characters = deliver.text().length();
		this.responses.get(deliver.request())
			.deliver(deliver.version(), deliver.text(), () -> sendCredit(deliver.request(), characters));
	}

	private synchronized void sendCredit(RequestId request, int characters) {
		CurrentAttempt current = this.currentAttempts.get(request);
		if (current != null) {
			this.services.send(current.agent(), new Frame.Credit(current.attempt(), characters));
		}
	}

	private record CurrentAttempt(NodeId agent, AttemptId attempt) {
	}

}
