package org.gullsaddle.agent;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.Templates;
import org.gullsaddle.template.VersionState;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionTests {

	private static final NodeId ENTRY = new NodeId("entry-1");

	private static final ModelVersion SMALL = ModelVersion.of("small@v1");

	private static final Completion STOP = new Completion(200, "application/json", "stop", new Usage(10, 20));

	private final Admission admission = new Admission(new AdmissionSettings(new NodeId("agent-1"), 3, 100));

	private final List<AdmissionAction> actions = new ArrayList<>();

	private final Template template = Templates.parse(Templates.ASSISTANT);

	private long now = 1;

	@BeforeEach
	void start() {
		handle(new AdmissionEvent.TemplateChanged(Templates.revision(1, this.template)));
		handle(new AdmissionEvent.BackendUp(Set.of(SMALL), 2));
	}

	private void handle(AdmissionEvent event) {
		this.actions.addAll(this.admission.handle(Moment.at(this.now), event));
	}

	private static Dispatch dispatch(String request, String team, int rank, long revision) {
		return new Dispatch(new AttemptId(new RequestId(request), 1), new TeamId(team), Templates.ASSISTANT_NAME,
				revision, SMALL, false, rank, 1, 0, true, false, new Fingerprint(request), "", "body");
	}

	private void arrive(String request, String team, int rank) {
		handle(new AdmissionEvent.Dispatched(ENTRY, dispatch(request, team, rank, 1), this.now + 1000));
	}

	private List<String> startedRequests() {
		return all(AdmissionAction.Start.class).stream()
			.map((start) -> start.dispatch().attempt().request().value())
			.toList();
	}

	private void complete(String request) {
		handle(new AdmissionEvent.AttemptDone(new AttemptId(new RequestId(request), 1), STOP));
	}

	private <T extends AdmissionAction> List<T> all(Class<T> type) {
		return this.actions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private RefusalReason firstRefusalReason() {
		return all(AdmissionAction.Refuse.class).get(0).refusal().reason();
	}

	@Nested
	class Queue {

		@Test
		void higherRankStartsFirst() {
			arrive("a", "basic", 1);
			arrive("b", "basic", 1);
			arrive("low", "basic", 1);
			arrive("high", "basic", 9);
			complete("a");
			assertThat(startedRequests()).containsExactly("a", "b", "high");
		}

		@Test
		void teamsOfEqualRankTakeTurns() {
			arrive("a1", "basic", 1);
			arrive("a2", "basic", 1);
			arrive("a3", "basic", 1);
			arrive("a4", "basic", 1);
			arrive("g1", "gold", 1);
			complete("a1");
			complete("a2");
			assertThat(startedRequests().subList(2, 4)).containsExactlyInAnyOrder("a3", "g1");
		}

		@Test
		void fullQueueRefusesAtOnceWithRetryAfter() {
			for (int i = 0; i < 6; i++) {
				arrive("r" + i, "basic", 1);
			}
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.OVERLOADED);
			assertThat(all(AdmissionAction.Refuse.class).get(0).refusal().retryAfterMillis()).isPositive();
		}

		@Test
		void attemptThatCannotMeetItsDeadlineIsRefusedAtOnce() {
			arrive("a", "basic", 1);
			arrive("b", "basic", 1);
			handle(new AdmissionEvent.Dispatched(ENTRY, dispatch("hurried", "basic", 1, 1),
					AdmissionTests.this.now + 10));
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.OVERLOADED);
		}

		/**
		 * The queue is full of attempts of a low rank when one of a high rank arrives.
		 * The last of the low rank is refused at once, without having run, and the other
		 * takes its place.
		 */
		@Test
		void higherRankDisplacesTheLastOfAFullQueue() {
			for (int i = 0; i < 5; i++) {
				arrive("low" + i, "basic", 1);
			}
			arrive("high", "basic", 9);
			assertThat(all(AdmissionAction.Refuse.class)).hasSize(1);
			assertThat(all(AdmissionAction.Refuse.class).get(0).attempt().request()).isEqualTo(new RequestId("low4"));
			complete("low0");
			assertThat(startedRequests()).containsExactly("low0", "low1", "high");
		}

		@Test
		void queuedAttemptIsRefusedOnceItCannotMeetItsDeadline() {
			arrive("a", "basic", 1);
			arrive("b", "basic", 1);
			handle(new AdmissionEvent.Dispatched(ENTRY, dispatch("slow", "basic", 1, 1),
					AdmissionTests.this.now + 400));
			assertThat(all(AdmissionAction.Refuse.class)).isEmpty();
			AdmissionTests.this.now += 250;
			handle(new AdmissionEvent.Tick());
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.OVERLOADED);
		}

		@Test
		void duplicateDispatchRunsOnce() {
			arrive("a", "basic", 1);
			arrive("a", "basic", 1);
			assertThat(startedRequests()).containsExactly("a");
		}

		/**
		 * The agent is paused, as by a stopped VM, with a dispatch unread in its socket.
		 * It resumes after the deadline, when the caller has already got its final
		 * answer.
		 */
		@Test
		void dispatchReadAfterItsDeadlineIsNotRun() {
			AdmissionTests.this.now += 5000;
			handle(new AdmissionEvent.Dispatched(ENTRY, dispatch("late", "basic", 1, 1), 1000));
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.DEADLINE);
			assertThat(startedRequests()).isEmpty();
		}

		@Test
		void cancelReceivedBeforeItsDispatchPreventsTheRun() {
			handle(new AdmissionEvent.CancelRequested(new AttemptId(new RequestId("a"), 1)));
			arrive("a", "basic", 1);
			assertThat(startedRequests()).isEmpty();
		}

	}

	@Nested
	class TemplateChecks {

		/**
		 * A version is withdrawn, and an entry that does not know that yet still sends
		 * attempts. The agent has the newer revision and refuses them without running
		 * them.
		 */
		@Test
		void newerRevisionOfTheAgentStopsAWithdrawnVersion() {
			Template changed = AdmissionTests.this.template.withState(SMALL, VersionState.WITHDRAWN);
			handle(new AdmissionEvent.TemplateChanged(Templates.revision(2, changed)));
			arrive("a", "basic", 1);
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.FORBIDDEN);
		}

		@Test
		void withdrawalRefusesQueuedAttempts() {
			arrive("a", "basic", 1);
			arrive("b", "basic", 1);
			arrive("waits", "basic", 1);
			Template changed = AdmissionTests.this.template.withState(SMALL, VersionState.WITHDRAWN);
			handle(new AdmissionEvent.TemplateChanged(Templates.revision(2, changed)));
			complete("a");
			assertThat(startedRequests()).containsExactly("a", "b");
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.FORBIDDEN);
		}

		@Test
		void agentWithoutTheRevisionRefuses() {
			handle(new AdmissionEvent.Dispatched(ENTRY, dispatch("a", "basic", 1, 2), 1000));
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.FORBIDDEN);
		}

		@Test
		void teamThatMayNotUseTheVersionIsRefused() {
			arrive("a", "unknown", 1);
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.FORBIDDEN);
		}

	}

	@Nested
	class Draining {

		@Test
		void drainIsAnnouncedAtOnceAndRunningAttemptsComplete() {
			arrive("a", "basic", 1);
			handle(new AdmissionEvent.DrainStarted());
			arrive("b", "basic", 1);
			assertThat(all(AdmissionAction.AnnounceLeaving.class)).hasSize(1);
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.LEAVING);
			assertThat(all(AdmissionAction.Drained.class)).isEmpty();
			complete("a");
			assertThat(all(AdmissionAction.Drained.class)).hasSize(1);
			assertThat(all(AdmissionAction.SendDone.class)).hasSize(1);
		}

		@Test
		void repeatedDrainChangesNothing() {
			handle(new AdmissionEvent.DrainStarted());
			handle(new AdmissionEvent.DrainStarted());
			assertThat(all(AdmissionAction.Drained.class)).hasSize(1);
		}

	}

	@Nested
	class Crashes {

		private void crash(String request) {
			handle(new AdmissionEvent.AttemptFailed(new AttemptId(new RequestId(request), 1), Verdict.MAY_HAVE_RUN,
					true, Usage.NONE));
		}

		@Test
		void suspectRunsAlone() {
			arrive("suspect", "basic", 1);
			crash("suspect");
			arrive("bystander", "basic", 1);
			handle(new AdmissionEvent.Dispatched(ENTRY,
					new Dispatch(new AttemptId(new RequestId("suspect"), 2), new TeamId("basic"),
							Templates.ASSISTANT_NAME, 1, SMALL, false, 1, 1, 0, true, false, new Fingerprint("suspect"),
							"", "body"),
					1000));
			assertThat(startedRequests()).containsExactly("suspect", "bystander");
			complete("bystander");
			arrive("other", "basic", 1);
			assertThat(startedRequests()).containsExactly("suspect", "bystander", "suspect");
		}

		@Test
		void contentThatCrashedAloneIsRefused() {
			arrive("poison", "basic", 1);
			crash("poison");
			handle(new AdmissionEvent.SuspectAnnounced(new SuspectContent(new Fingerprint("poison"),
					Set.of(new AttemptId(new RequestId("poison"), 2)), true)));
			arrive("again", "basic", 1);
			handle(new AdmissionEvent.Dispatched(ENTRY,
					new Dispatch(new AttemptId(new RequestId("poison"), 3), new TeamId("basic"),
							Templates.ASSISTANT_NAME, 1, SMALL, false, 1, 1, 0, true, false, new Fingerprint("poison"),
							"", "body"),
					1000));
			assertThat(firstRefusalReason()).isEqualTo(RefusalReason.POISON);
		}

	}

	@Nested
	class Records {

		/**
		 * The end of an answer is sent to its entry once a third node holds a copy of the
		 * line, or after 100 ms without a copy.
		 */
		@Test
		void answerEndWaitsForTheCopyOfItsLine() {
			handle(new AdmissionEvent.EntryUp(ENTRY));
			handle(new AdmissionEvent.EntryUp(new NodeId("entry-2")));
			arrive("a", "basic", 1);
			complete("a");
			assertThat(all(AdmissionAction.CopyLine.class).get(0).holder()).isEqualTo(new NodeId("entry-2"));
			assertThat(all(AdmissionAction.SendDone.class)).isEmpty();
			handle(new AdmissionEvent.CopyHeld(new AttemptId(new RequestId("a"), 1)));
			assertThat(all(AdmissionAction.SendDone.class)).hasSize(1);
		}

		@Test
		void answerEndIsSentWithoutACopyAfterTheTimeout() {
			handle(new AdmissionEvent.EntryUp(new NodeId("entry-2")));
			arrive("a", "basic", 1);
			complete("a");
			AdmissionTests.this.now += 100;
			handle(new AdmissionEvent.Tick());
			assertThat(all(AdmissionAction.SendDone.class)).hasSize(1);
		}

		@Test
		void lostEntryAbortsRepeatableAttemptsOnly() {
			arrive("chat", "basic", 1);
			handle(new AdmissionEvent.Dispatched(ENTRY,
					new Dispatch(new AttemptId(new RequestId("order"), 1), new TeamId("basic"),
							Templates.ASSISTANT_NAME, 1, SMALL, false, 1, 1, 0, false, false, new Fingerprint("order"),
							"", "body"),
					1000));
			handle(new AdmissionEvent.EntryDown(ENTRY));
			assertThat(all(AdmissionAction.Abort.class)).extracting((abort) -> abort.attempt().request().value())
				.containsExactly("chat");
		}

	}

}
