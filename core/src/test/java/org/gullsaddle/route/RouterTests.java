package org.gullsaddle.route;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.Templates;
import org.gullsaddle.template.VersionState;

import static org.assertj.core.api.Assertions.assertThat;

class RouterTests {

	private static final ModelVersion SMALL = ModelVersion.of("small@v1");

	private static final ModelVersion LARGE = ModelVersion.of("large@v1");

	private static final RequestId REQUEST = new RequestId("r1");

	private static final Completion STOP = new Completion(200, "application/json", "stop", new Usage(10, 20));

	private final Router router = new Router(RouterSettings.builder("west", "west-1").spotCheckRatio(0).build(),
			new Random(1));

	private final List<RouterAction> actions = new ArrayList<>();

	private Template template = Templates.parse(Templates.ASSISTANT);

	private long now = 1;

	@BeforeEach
	void start() {
		handle(new RouterEvent.TemplateChanged(Templates.revision(1, this.template)));
		agentUp("agent-1", SMALL, LARGE);
		agentUp("agent-2", SMALL, LARGE);
	}

	private void handle(RouterEvent event) {
		this.actions.addAll(this.router.handle(Moment.at(this.now), event));
	}

	private void agentUp(String agent, ModelVersion... versions) {
		handle(new RouterEvent.AgentUp(
				new AgentInfo(new NodeId(agent), "west", "west-1", Set.of(versions), new LoadReport(0, 0, 4))));
	}

	private void arrive(IncomingRequest.Builder request) {
		handle(new RouterEvent.RequestArrived(request.deadline(this.now + 1000).build()));
	}

	private static IncomingRequest.Builder chat(String team) {
		return IncomingRequest.builder(REQUEST, new TeamId(team), Templates.ASSISTANT_NAME).body("prompt");
	}

	private <T extends RouterAction> List<T> all(Class<T> type) {
		return this.actions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	private <T extends RouterAction> T last(Class<T> type) {
		return all(type).get(all(type).size() - 1);
	}

	private Dispatch lastDispatch() {
		return last(RouterAction.Send.class).dispatch();
	}

	private void answer(AttemptId attempt, String text) {
		handle(new RouterEvent.AttemptChunk(attempt, 0, text));
		handle(new RouterEvent.AttemptDone(attempt, STOP, text.length()));
	}

	@Nested
	class Chats {

		@Test
		void directAnswerIsDeliveredCompletedAndRecordedOnce() {
			arrive(chat("basic"));
			answer(lastDispatch().attempt(), "hello");
			assertThat(last(RouterAction.Deliver.class).text()).isEqualTo("hello");
			assertThat(last(RouterAction.Complete.class).costMicros()).isEqualTo(20);
			assertThat(all(RouterAction.WriteRecord.class)).hasSize(1);
			assertThat(RouterTests.this.router.openRequestCount()).isZero();
		}

		@Test
		void answerThatPassesTheThresholdEndsTheCascade() {
			arrive(chat("gold"));
			assertThat(lastDispatch().version()).isEqualTo(SMALL);
			answer(lastDispatch().attempt(), "cheap");
			assertThat(all(RouterAction.Deliver.class)).isEmpty();
			handle(new RouterEvent.AnswerRated(lastDispatch().attempt(), OptionalDouble.of(0.9)));
			assertThat(last(RouterAction.Complete.class).servedBy()).isEqualTo("small@v1");
			assertThat(last(RouterAction.Complete.class).completion()).isEqualTo(STOP);
		}

		@Test
		void answerBelowTheThresholdIsReplacedAndBothAttemptsAreCharged() {
			arrive(chat("gold"));
			answer(lastDispatch().attempt(), "cheap");
			handle(new RouterEvent.AnswerRated(lastDispatch().attempt(), OptionalDouble.of(0.2)));
			assertThat(lastDispatch().version()).isEqualTo(LARGE);
			answer(lastDispatch().attempt(), "dear");
			assertThat(last(RouterAction.Deliver.class).text()).isEqualTo("dear");
			assertThat(last(RouterAction.Complete.class).costMicros()).isEqualTo(20 + 200);
		}

		/**
		 * The first stage is rated below the threshold, and no agent accepts the second.
		 * The caller gets the answer of the first stage, which is worth more than none.
		 */
		@Test
		void answerBelowTheThresholdIsServedWhenTheNextStageFails() {
			arrive(chat("gold"));
			answer(lastDispatch().attempt(), "cheap");
			handle(new RouterEvent.AnswerRated(lastDispatch().attempt(), OptionalDouble.of(0.2)));
			handle(new RouterEvent.AttemptRefused(lastDispatch().attempt(), Refusal.notRun(RefusalReason.DEADLINE, 0)));
			assertThat(last(RouterAction.Deliver.class).text()).isEqualTo("cheap");
			assertThat(last(RouterAction.WriteRecord.class).record().outcome()).isEqualTo("served-below-target");
			assertThat(all(RouterAction.Refuse.class)).isEmpty();
		}

		/**
		 * The second stage is still running at the deadline, and the caller gets the
		 * answer of the first stage. When the attempt ends later, it must no longer count
		 * as load. Otherwise its agent would get less work after each such end, and
		 * finally none.
		 */
		@Test
		void attemptThatEndsAfterItsRequestNoLongerCountsAsLoad() {
			for (int i = 0; i < 8; i++) {
				RequestId id = new RequestId("late-" + i);
				handle(new RouterEvent.RequestArrived(
						IncomingRequest.builder(id, new TeamId("gold"), Templates.ASSISTANT_NAME)
							.prefixHash(7)
							.deadline(RouterTests.this.now + 1000)
							.build()));
				answer(lastDispatch().attempt(), "cheap");
				handle(new RouterEvent.AnswerRated(lastDispatch().attempt(), OptionalDouble.of(0.2)));
				RouterTests.this.now += 1000;
				handle(new RouterEvent.Tick());
				handle(new RouterEvent.AttemptFailed(lastDispatch().attempt(), Verdict.MAY_HAVE_RUN, false,
						Usage.NONE));
			}
			assertThat(all(RouterAction.Complete.class)).hasSize(8);
			assertThat(all(RouterAction.Send.class)).hasSize(16)
				.extracting(RouterAction.Send::agent)
				.containsOnly(all(RouterAction.Send.class).get(0).agent());
		}

		/**
		 * The backend server fails after a part of the answer was delivered. The answer
		 * resumes after that part on another agent, with the same version.
		 */
		@Test
		void brokenStreamResumesAfterTheDeliveredText() {
			arrive(chat("basic"));
			AttemptId first = lastDispatch().attempt();
			handle(new RouterEvent.AttemptChunk(first, 0, "two words"));
			handle(new RouterEvent.AttemptFailed(first, Verdict.MAY_HAVE_RUN, false, Usage.NONE));
			assertThat(lastDispatch().resume()).isEqualTo("two words");
			assertThat(all(RouterAction.Send.class)).extracting(RouterAction.Send::agent).doesNotHaveDuplicates();
			handle(new RouterEvent.AttemptChunk(first, 9, " of the first attempt, late"));
			handle(new RouterEvent.AttemptChunk(lastDispatch().attempt(), 9, " more"));
			handle(new RouterEvent.AttemptDone(lastDispatch().attempt(), STOP, 14));
			assertThat(all(RouterAction.Deliver.class)).extracting(RouterAction.Deliver::text)
				.containsExactly("two words", " more");
		}

		/**
		 * Guards against a stream that ends although an agent could resume it: one that
		 * refused the request before the stream began.
		 */
		@Test
		void brokenStreamResumesOnAnAgentThatRefusedEarlier() {
			arrive(chat("basic"));
			NodeId refusing = last(RouterAction.Send.class).agent();
			handle(new RouterEvent.AttemptRefused(lastDispatch().attempt(),
					Refusal.notRun(RefusalReason.FORBIDDEN, 0)));
			NodeId killed = last(RouterAction.Send.class).agent();
			handle(new RouterEvent.AttemptChunk(lastDispatch().attempt(), 0, "two words"));
			handle(new RouterEvent.AgentDown(killed));
			assertThat(last(RouterAction.Send.class).agent()).isEqualTo(refusing);
			assertThat(lastDispatch().resume()).isEqualTo("two words");
			assertThat(all(RouterAction.Refuse.class)).isEmpty();
		}

		/**
		 * A chunk of the answer is lost. Appending the next one would give the caller a
		 * wrong answer that looks complete.
		 */
		@Test
		void missingChunkBreaksOffTheAttempt() {
			arrive(chat("basic"));
			AttemptId first = lastDispatch().attempt();
			handle(new RouterEvent.AttemptChunk(first, 0, "one "));
			handle(new RouterEvent.AttemptChunk(first, 8, "three"));
			assertThat(last(RouterAction.Cancel.class).attempt()).isEqualTo(first);
			assertThat(lastDispatch().resume()).isEqualTo("one ");
		}

		@Test
		void disconnectedCallerCancelsItsAttempt() {
			arrive(chat("basic"));
			handle(new RouterEvent.CallerDisconnected(REQUEST));
			assertThat(last(RouterAction.Cancel.class).attempt()).isEqualTo(lastDispatch().attempt());
			handle(new RouterEvent.AttemptFailed(lastDispatch().attempt(), Verdict.MAY_HAVE_RUN, false,
					new Usage(5, 7)));
			assertThat(last(RouterAction.WriteRecord.class).record().costMicros()).isEqualTo(7);
		}

	}

	@Nested
	class Refusals {

		@ParameterizedTest
		@CsvSource({ "overloaded, true", "backend-leaving, true", "version-forbidden, true",
				"deadline-exceeded, false" })
		void refusedAttemptIsRetriedElsewhereUnlessItsDeadlinePassed(String reason, boolean again) {
			arrive(chat("basic"));
			RefusalReason why = Arrays.stream(RefusalReason.values())
				.filter((each) -> each.toString().equals(reason))
				.findFirst()
				.orElseThrow();
			handle(new RouterEvent.AttemptRefused(lastDispatch().attempt(), Refusal.notRun(why, 100)));
			assertThat(all(RouterAction.Send.class)).hasSize(again ? 2 : 1);
			if (!again) {
				assertThat(last(RouterAction.Refuse.class).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
			}
		}

		@Test
		void requestWithoutAgentsIsRefusedAtOnceWithRetryAfter() {
			handle(new RouterEvent.AgentDown(new NodeId("agent-1")));
			handle(new RouterEvent.AgentDown(new NodeId("agent-2")));
			arrive(chat("basic"));
			Refusal refusal = last(RouterAction.Refuse.class).refusal();
			assertThat(refusal.reason()).isEqualTo(RefusalReason.NO_VERSION);
			assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThat(refusal.retryAfterMillis()).isBetween(1000L, 2000L);
		}

		@Test
		void requestThatRunsAtItsDeadlineMayHaveRun() {
			arrive(chat("basic"));
			RouterTests.this.now += 1000;
			handle(new RouterEvent.Tick());
			assertThat(last(RouterAction.Refuse.class).refusal().reason()).isEqualTo(RefusalReason.DEADLINE);
			assertThat(last(RouterAction.Refuse.class).refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(all(RouterAction.Cancel.class)).hasSize(1);
		}

		/**
		 * Every backend server fails. Without a retry budget each request would be sent
		 * several times, and the retries would add to the overload.
		 */
		@Test
		void retryBudgetBoundsRetriesWhenEveryAttemptFails() {
			for (int i = 0; i < 500; i++) {
				RequestId id = new RequestId("many-" + i);
				handle(new RouterEvent.RequestArrived(
						IncomingRequest.builder(id, new TeamId("basic"), Templates.ASSISTANT_NAME)
							.deadline(5000)
							.build()));
				while (lastDispatch().attempt().request().equals(id)
						&& RouterTests.this.router.openRequestCount() > 0) {
					handle(new RouterEvent.AttemptFailed(lastDispatch().attempt(), Verdict.MAY_HAVE_RUN, false,
							Usage.NONE));
				}
			}
			assertThat(all(RouterAction.Send.class).size()).isBetween(500, 500 + 50 + 10);
		}

	}

	@Nested
	class AtMostOnce {

		@BeforeEach
		void arriveWithKey() {
			arrive(chat("basic").atMostOnce("key-1"));
		}

		private void completeClaim(ClaimResult answer) {
			handle(new RouterEvent.ClaimCompleted(REQUEST, answer));
		}

		@Test
		void nothingIsSentBeforeTheKeyIsClaimed() {
			assertThat(all(RouterAction.Send.class)).isEmpty();
			completeClaim(new ClaimResult.Granted());
			assertThat(all(RouterAction.Send.class)).hasSize(1);
		}

		/**
		 * The verdict for the caller and the release of the key, for a fault at each step
		 * of a call that may run only once.
		 */
		@ParameterizedTest
		@CsvSource({ "no-link, NOT_RUN, true", "refused, NOT_RUN, true", "cut, MAY_HAVE_RUN, false",
				"failed, MAY_HAVE_RUN, false", "deadline, MAY_HAVE_RUN, false" })
		void faultAfterTheClaimDecidesVerdictAndRelease(String fault, Verdict verdict, boolean released) {
			completeClaim(new ClaimResult.Granted());
			for (int i = 0; i < 4 && all(RouterAction.Refuse.class).isEmpty(); i++) {
				injectFault(fault);
			}
			assertThat(last(RouterAction.Refuse.class).refusal().verdict()).isEqualTo(verdict);
			assertThat(all(RouterAction.ReleaseClaim.class)).hasSize(released ? 1 : 0);
			assertThat(all(RouterAction.Send.class).size()).isEqualTo((verdict == Verdict.NOT_RUN) ? 2 : 1);
		}

		private void injectFault(String fault) {
			AttemptId attempt = lastDispatch().attempt();
			switch (fault) {
				case "no-link" -> handle(new RouterEvent.AttemptFailed(attempt, Verdict.NOT_RUN, false, Usage.NONE));
				case "refused" ->
					handle(new RouterEvent.AttemptRefused(attempt, Refusal.notRun(RefusalReason.LEAVING, 10)));
				case "cut" -> handle(new RouterEvent.AgentDown(last(RouterAction.Send.class).agent()));
				case "failed" ->
					handle(new RouterEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, false, Usage.NONE));
				default -> {
					RouterTests.this.now += 1000;
					handle(new RouterEvent.Tick());
				}
			}
		}

		@ParameterizedTest
		@CsvSource({ "in-use, KEY_IN_USE, MAY_HAVE_RUN", "differs, KEY_REUSED, NOT_RUN",
				"unavailable, STORE_UNAVAILABLE, NOT_RUN" })
		void requestWhoseClaimIsNotGrantedIsRefused(String answer, RefusalReason reason, Verdict verdict) {
			ClaimResult given = switch (answer) {
				case "in-use" -> new ClaimResult.InUse();
				case "differs" -> new ClaimResult.ContentDiffers();
				default -> new ClaimResult.Unavailable();
			};
			completeClaim(given);
			assertThat(last(RouterAction.Refuse.class).refusal().reason()).isEqualTo(reason);
			assertThat(last(RouterAction.Refuse.class).refusal().verdict()).isEqualTo(verdict);
			assertThat(all(RouterAction.Send.class)).isEmpty();
		}

		@Test
		void repeatedCallGetsTheStoredAnswer() {
			completeClaimWithStoredAnswer();
			assertThat(all(RouterAction.Deliver.class)).isEmpty();
			handle(new RouterEvent.RecordStored(REQUEST));
			assertThat(last(RouterAction.Deliver.class).text()).isEqualTo("booked");
			assertThat(last(RouterAction.Complete.class).costMicros()).isZero();
			assertThat(all(RouterAction.Send.class)).isEmpty();
		}

		/**
		 * A call is repeated, and its record is not stored before its deadline. The
		 * caller is told that it may have run, and gets no answer afterwards.
		 */
		@Test
		void repeatedCallWhoseRecordIsNotStoredInTimeMayHaveRun() {
			completeClaimWithStoredAnswer();
			RouterTests.this.now += 1000;
			handle(new RouterEvent.Tick());
			handle(new RouterEvent.RecordStored(REQUEST));
			assertThat(last(RouterAction.Refuse.class).refusal().reason()).isEqualTo(RefusalReason.DEADLINE);
			assertThat(last(RouterAction.Refuse.class).refusal().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(all(RouterAction.Complete.class)).isEmpty();
		}

		@Test
		void repeatedCallWhoseCallerDisconnectsGetsNoAnswer() {
			completeClaimWithStoredAnswer();
			handle(new RouterEvent.CallerDisconnected(REQUEST));
			handle(new RouterEvent.RecordStored(REQUEST));
			assertThat(all(RouterAction.Deliver.class)).isEmpty();
			assertThat(last(RouterAction.WriteRecord.class).record().outcome()).isEqualTo("caller-gone");
		}

		private void completeClaimWithStoredAnswer() {
			completeClaim(new ClaimResult.Finished(new CallOutcome(new RequestId("r0"), "small@v1", STOP, "booked")));
		}

		/**
		 * The attempt ends after the caller's deadline. Its whole answer is stored under
		 * the key, for the caller to get when it repeats the call.
		 */
		@Test
		void lateAnswerIsStoredWholeForARepeatedCall() {
			completeClaim(new ClaimResult.Granted());
			AttemptId attempt = lastDispatch().attempt();
			handle(new RouterEvent.AttemptChunk(attempt, 0, "boo"));
			injectFault("deadline");
			handle(new RouterEvent.AttemptChunk(attempt, 3, "ked"));
			handle(new RouterEvent.AttemptDone(attempt, STOP, 6));
			assertThat(last(RouterAction.CompleteClaim.class).outcome().text()).isEqualTo("booked");
			assertThat(all(RouterAction.Cancel.class)).isEmpty();
		}

		/**
		 * The claim is granted after the caller was told that its request was not run.
		 * The request must not be sent any more, and its key is released.
		 */
		@Test
		void claimGrantedAfterTheRefusalSendsNothing() {
			RouterTests.this.now += 1000;
			handle(new RouterEvent.Tick());
			assertThat(last(RouterAction.Refuse.class).refusal().verdict()).isEqualTo(Verdict.NOT_RUN);
			completeClaim(new ClaimResult.Granted());
			assertThat(all(RouterAction.Send.class)).isEmpty();
		}

	}

	@Nested
	class Sessions {

		private void arriveInSession(String request, ModelVersion token) {
			handle(new RouterEvent.RequestArrived(
					IncomingRequest.builder(new RequestId(request), new TeamId("gold"), Templates.ASSISTANT_NAME)
						.session(new SessionId("s1"))
						.pinnedVersion(token)
						.deadline(RouterTests.this.now + 1000)
						.build()));
		}

		@Test
		void sessionTokenPinsTheVersionWithoutTheStore() {
			arriveInSession("r1", LARGE);
			assertThat(lastDispatch().version()).isEqualTo(LARGE);
			assertThat(lastDispatch().pinned()).isTrue();
			assertThat(all(RouterAction.PinSession.class)).isEmpty();
		}

		@Test
		void sessionRunsOnTheVersionPinnedInTheStore() {
			arriveInSession("r1", null);
			handle(new RouterEvent.PinCompleted(new RequestId("r1"), Optional.of(SMALL)));
			assertThat(lastDispatch().version()).isEqualTo(SMALL);
		}

		@Test
		void sessionWhoseVersionIsUnknownIsRefused() {
			arriveInSession("r1", null);
			handle(new RouterEvent.PinCompleted(new RequestId("r1"), Optional.empty()));
			assertThat(last(RouterAction.Refuse.class).refusal().reason()).isEqualTo(RefusalReason.STORE_UNAVAILABLE);
			assertThat(all(RouterAction.Send.class)).isEmpty();
		}

		@Test
		void withdrawnVersionOfASessionIsReplaced() {
			Template changed = RouterTests.this.template.withState(SMALL, VersionState.WITHDRAWN);
			handle(new RouterEvent.TemplateChanged(Templates.revision(2, changed)));
			arriveInSession("r1", SMALL);
			assertThat(last(RouterAction.PinSession.class).replaced()).isEqualTo(SMALL);
			assertThat(last(RouterAction.PinSession.class).proposed()).isEqualTo(LARGE);
		}

	}

	@Nested
	class Ejection {

		/**
		 * One backend server fails every attempt at once and therefore always looks idle.
		 * If it were not ejected for a while, it would attract all requests.
		 */
		@Test
		void agentWithConsecutiveFailuresIsEjected() {
			for (int i = 0; i < 40; i++) {
				RequestId id = new RequestId("r-" + i);
				handle(new RouterEvent.RequestArrived(
						IncomingRequest.builder(id, new TeamId("basic"), Templates.ASSISTANT_NAME)
							.prefixHash(i)
							.deadline(1000)
							.build()));
				while (RouterTests.this.router.openRequestCount() > 0) {
					AttemptId attempt = lastDispatch().attempt();
					if (last(RouterAction.Send.class).agent().value().equals("agent-1")) {
						handle(new RouterEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, false, Usage.NONE));
					}
					else {
						answer(attempt, "ok");
					}
				}
			}
			assertThat(all(RouterAction.Send.class)).filteredOn((send) -> send.agent().value().equals("agent-1"))
				.hasSize(3);
			assertThat(all(RouterAction.Complete.class)).hasSize(40);
		}

	}

	@Nested
	class AgentsAndConfiguration {

		@Test
		void leavingAgentGetsNoNewWork() {
			handle(new RouterEvent.AgentLeaving(new NodeId("agent-1")));
			for (int i = 0; i < 20; i++) {
				handle(new RouterEvent.RequestArrived(
						IncomingRequest.builder(new RequestId("r-" + i), new TeamId("basic"), Templates.ASSISTANT_NAME)
							.prefixHash(i)
							.deadline(1000)
							.build()));
			}
			assertThat(all(RouterAction.Send.class)).extracting((send) -> send.agent().value()).containsOnly("agent-2");
		}

		@Test
		void cutOffNodeRefusesTeamsThatAskForIt() {
			Template strict = Templates.parse(Templates.ASSISTANT.replace("basic: {", "basic: {cutOff: refuse, "));
			handle(new RouterEvent.TemplateChanged(Templates.revision(2, strict)));
			handle(new RouterEvent.FreshnessChanged(true));
			arrive(chat("basic"));
			assertThat(last(RouterAction.Refuse.class).refusal().reason()).isEqualTo(RefusalReason.FORBIDDEN);
		}

	}

}
