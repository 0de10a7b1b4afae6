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
import org.gullsaddle.suspect.Suspicion;
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
		happens(new AdmissionEvent.TemplateChanged(Templates.revision(1, this.template)));
		happens(new AdmissionEvent.BackendUp(Set.of(SMALL), 2));
	}

	private void happens(AdmissionEvent event) {
		this.actions.addAll(this.admission.handle(Moment.at(this.now), event));
	}

	private static Dispatch dispatch(String request, String team, int rank, long revision) {
		return new Dispatch(new AttemptId(new RequestId(request), 1), new TeamId(team), Templates.ASSISTANT_NAME,
				revision, SMALL, false, rank, 1, 0, true, false, new Fingerprint(request), "", "body");
	}

	private void arrives(String request, String team, int rank) {
		happens(new AdmissionEvent.Dispatched(ENTRY, dispatch(request, team, rank, 1), this.now + 1000));
	}

	private List<String> started() {
		return all(AdmissionAction.Start.class).stream()
			.map((start) -> start.dispatch().attempt().request().value())
			.toList();
	}

	private void ends(String request) {
		happens(new AdmissionEvent.AttemptDone(new AttemptId(new RequestId(request), 1), STOP));
	}

	private <T extends AdmissionAction> List<T> all(Class<T> type) {
		return this.actions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private RefusalReason refused() {
		return all(AdmissionAction.Refuse.class).get(0).refusal().reason();
	}

	@Nested
	class Queue {

		@Test
		void higherRankGoesFirst() {
			arrives("a", "basic", 1);
			arrives("b", "basic", 1);
			arrives("low", "basic", 1);
			arrives("high", "basic", 9);
			ends("a");
			assertThat(started()).containsExactly("a", "b", "high");
		}

		@Test
		void teamsOfEqualRankTakeTurns() {
			arrives("a1", "basic", 1);
			arrives("a2", "basic", 1);
			arrives("a3", "basic", 1);
			arrives("a4", "basic", 1);
			arrives("g1", "gold", 1);
			ends("a1");
			ends("a2");
			assertThat(started().subList(2, 4)).containsExactlyInAnyOrder("a3", "g1");
		}

		@Test
		void fullQueueRefusesAtOnceAndTellsWhenToComeBack() {
			for (int i = 0; i < 6; i++) {
				arrives("r" + i, "basic", 1);
			}
			assertThat(refused()).isEqualTo(RefusalReason.OVERLOADED);
			assertThat(all(AdmissionAction.Refuse.class).get(0).refusal().retryAfterMillis()).isPositive();
		}

		@Test
		void workThatCannotMeetItsDeadlineIsRefusedBeforeItWaits() {
			arrives("a", "basic", 1);
			arrives("b", "basic", 1);
			happens(new AdmissionEvent.Dispatched(ENTRY, dispatch("hurried", "basic", 1, 1),
					AdmissionTests.this.now + 10));
			assertThat(refused()).isEqualTo(RefusalReason.OVERLOADED);
		}

		/**
		 * The queue is full of low work when high work comes. The last of the low is
		 * refused at once, truly not run, and the high work takes its room.
		 */
		@Test
		void fullQueueMakesRoomForAHigherRank() {
			for (int i = 0; i < 5; i++) {
				arrives("low" + i, "basic", 1);
			}
			arrives("high", "basic", 9);
			assertThat(all(AdmissionAction.Refuse.class)).hasSize(1);
			assertThat(all(AdmissionAction.Refuse.class).get(0).attempt().request()).isEqualTo(new RequestId("low4"));
			ends("low0");
			assertThat(started()).containsExactly("low0", "low1", "high");
		}

		@Test
		void workThatIsOvertakenIsRefusedBeforeItsDeadline() {
			arrives("a", "basic", 1);
			arrives("b", "basic", 1);
			happens(new AdmissionEvent.Dispatched(ENTRY, dispatch("slow", "basic", 1, 1),
					AdmissionTests.this.now + 400));
			assertThat(all(AdmissionAction.Refuse.class)).isEmpty();
			AdmissionTests.this.now += 250;
			happens(new AdmissionEvent.Tick());
			assertThat(refused()).isEqualTo(RefusalReason.OVERLOADED);
		}

		@Test
		void frameThatArrivesTwiceRunsOnce() {
			arrives("a", "basic", 1);
			arrives("a", "basic", 1);
			assertThat(started()).containsExactly("a");
		}

		/**
		 * The agent is paused, as by a stopped VM, while a dispatch lies in its socket.
		 * It wakes after the deadline, when the caller has been told that all is over.
		 */
		@Test
		void dispatchReadAfterItsDeadlineIsNotRun() {
			AdmissionTests.this.now += 5000;
			happens(new AdmissionEvent.Dispatched(ENTRY, dispatch("late", "basic", 1, 1), 1000));
			assertThat(refused()).isEqualTo(RefusalReason.DEADLINE);
			assertThat(started()).isEmpty();
		}

		@Test
		void cancelThatOvertakesItsDispatchKeepsItFromRunning() {
			happens(new AdmissionEvent.CancelRequested(new AttemptId(new RequestId("a"), 1)));
			arrives("a", "basic", 1);
			assertThat(started()).isEmpty();
		}

	}

	@Nested
	class Fences {

		/**
		 * A version is withdrawn; an entry that has not heard of it still sends work. The
		 * agent has the newer revision and refuses, truly not run.
		 */
		@Test
		void agentsNewerRevisionStopsWithdrawnVersion() {
			Template changed = AdmissionTests.this.template.withState(SMALL, VersionState.WITHDRAWN);
			happens(new AdmissionEvent.TemplateChanged(Templates.revision(2, changed)));
			arrives("a", "basic", 1);
			assertThat(refused()).isEqualTo(RefusalReason.FORBIDDEN);
		}

		@Test
		void withdrawalStopsWorkThatWaits() {
			arrives("a", "basic", 1);
			arrives("b", "basic", 1);
			arrives("waits", "basic", 1);
			Template changed = AdmissionTests.this.template.withState(SMALL, VersionState.WITHDRAWN);
			happens(new AdmissionEvent.TemplateChanged(Templates.revision(2, changed)));
			ends("a");
			assertThat(started()).containsExactly("a", "b");
			assertThat(refused()).isEqualTo(RefusalReason.FORBIDDEN);
		}

		@Test
		void agentThatLacksTheRevisionRefuses() {
			happens(new AdmissionEvent.Dispatched(ENTRY, dispatch("a", "basic", 1, 2), 1000));
			assertThat(refused()).isEqualTo(RefusalReason.FORBIDDEN);
		}

		@Test
		void teamThatMayNotUseTheVersionIsRefused() {
			arrives("a", "unknown", 1);
			assertThat(refused()).isEqualTo(RefusalReason.FORBIDDEN);
		}

	}

	@Nested
	class Draining {

		@Test
		void leavingIsToldAtOnceAndWhatRunsEnds() {
			arrives("a", "basic", 1);
			happens(new AdmissionEvent.DrainStarted());
			arrives("b", "basic", 1);
			assertThat(all(AdmissionAction.AnnounceLeaving.class)).hasSize(1);
			assertThat(refused()).isEqualTo(RefusalReason.LEAVING);
			assertThat(all(AdmissionAction.Drained.class)).isEmpty();
			ends("a");
			assertThat(all(AdmissionAction.Drained.class)).hasSize(1);
			assertThat(all(AdmissionAction.SendDone.class)).hasSize(1);
		}

		@Test
		void secondOrderToDrainChangesNothing() {
			happens(new AdmissionEvent.DrainStarted());
			happens(new AdmissionEvent.DrainStarted());
			assertThat(all(AdmissionAction.Drained.class)).hasSize(1);
		}

	}

	@Nested
	class Crashes {

		private void crashes(String request) {
			happens(new AdmissionEvent.AttemptFailed(new AttemptId(new RequestId(request), 1), Verdict.MAY_HAVE_RUN,
					true, Usage.NONE));
		}

		@Test
		void suspectRunsWithNothingBeside() {
			arrives("suspect", "basic", 1);
			crashes("suspect");
			arrives("bystander", "basic", 1);
			happens(new AdmissionEvent.Dispatched(ENTRY,
					new Dispatch(new AttemptId(new RequestId("suspect"), 2), new TeamId("basic"),
							Templates.ASSISTANT_NAME, 1, SMALL, false, 1, 1, 0, true, false, new Fingerprint("suspect"),
							"", "body"),
					1000));
			assertThat(started()).containsExactly("suspect", "bystander");
			ends("bystander");
			arrives("other", "basic", 1);
			assertThat(started()).containsExactly("suspect", "bystander", "suspect");
		}

		@Test
		void contentThatCrashedAloneIsRefused() {
			arrives("poison", "basic", 1);
			crashes("poison");
			happens(new AdmissionEvent.SuspectAnnounced(
					new Suspicion(new Fingerprint("poison"), Set.of(new AttemptId(new RequestId("poison"), 2)), true)));
			arrives("again", "basic", 1);
			happens(new AdmissionEvent.Dispatched(ENTRY,
					new Dispatch(new AttemptId(new RequestId("poison"), 3), new TeamId("basic"),
							Templates.ASSISTANT_NAME, 1, SMALL, false, 1, 1, 0, true, false, new Fingerprint("poison"),
							"", "body"),
					1000));
			assertThat(refused()).isEqualTo(RefusalReason.POISON);
		}

	}

	@Nested
	class Records {

		/**
		 * An answer's end goes to the entry only once a third node holds the line, or
		 * after a tenth of a second without one.
		 */
		@Test
		void endOfAnAnswerWaitsForACopyOfItsLine() {
			happens(new AdmissionEvent.EntryUp(ENTRY));
			happens(new AdmissionEvent.EntryUp(new NodeId("entry-2")));
			arrives("a", "basic", 1);
			ends("a");
			assertThat(all(AdmissionAction.CopyLine.class).get(0).holder()).isEqualTo(new NodeId("entry-2"));
			assertThat(all(AdmissionAction.SendDone.class)).isEmpty();
			happens(new AdmissionEvent.CopyHeld(new AttemptId(new RequestId("a"), 1)));
			assertThat(all(AdmissionAction.SendDone.class)).hasSize(1);
		}

		@Test
		void endOfAnAnswerDoesNotWaitForALostCopy() {
			happens(new AdmissionEvent.EntryUp(new NodeId("entry-2")));
			arrives("a", "basic", 1);
			ends("a");
			AdmissionTests.this.now += 100;
			happens(new AdmissionEvent.Tick());
			assertThat(all(AdmissionAction.SendDone.class)).hasSize(1);
		}

		@Test
		void lostEntryStopsItsChatsAndLetsItsOrdersEnd() {
			arrives("chat", "basic", 1);
			happens(new AdmissionEvent.Dispatched(ENTRY,
					new Dispatch(new AttemptId(new RequestId("order"), 1), new TeamId("basic"),
							Templates.ASSISTANT_NAME, 1, SMALL, false, 1, 1, 0, false, false, new Fingerprint("order"),
							"", "body"),
					1000));
			happens(new AdmissionEvent.EntryDown(ENTRY));
			assertThat(all(AdmissionAction.Abort.class)).extracting((abort) -> abort.attempt().request().value())
				.containsExactly("chat");
		}

	}

}
