package org.gullsaddle.serve;

import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class QueueBoundsTests {

	private static Route route(int rank, long objectiveMillis, String... models) {
		return Route.named("rank-" + rank + "-" + objectiveMillis)
			.at("host", "/" + rank + "/" + objectiveMillis + "/")
			.kind(RouteKind.STREAM, true)
			.models(List.of(models))
			.within(10_000, objectiveMillis, 1000)
			.maxAttempts(3)
			.callers(true, rank)
			.build();
	}

	private static QueueBounds bounds(Route... routes) {
		return QueueBounds.of(Arrays.asList(routes));
	}

	private static Route routeWithTwoModels(int rank, long objectiveMillis) {
		return route(rank, objectiveMillis, "small", "large");
	}

	@Test
	void lessUrgentRanksMayJoinShorterQueuesOnly() {
		QueueBounds bounds = bounds(routeWithTwoModels(0, 1000), routeWithTwoModels(1, 1000),
				routeWithTwoModels(2, 1000));
		assertThat(bounds.maxQueueMillis(0)).isGreaterThan(bounds.maxQueueMillis(1));
		assertThat(bounds.maxQueueMillis(1)).isGreaterThan(bounds.maxQueueMillis(2));
		assertThat(bounds.maxQueueMillis(2)).isPositive();
	}

	/** Guards against patient callers that fill the queue of those who cannot wait. */
	@Test
	void longObjectiveOfALessUrgentRouteDoesNotLengthenItsQueue() {
		QueueBounds bounds = bounds(routeWithTwoModels(0, 1000), routeWithTwoModels(2, 8000));
		assertThat(bounds.maxQueueMillis(2)).isLessThan(bounds.maxQueueMillis(0));
	}

	@Test
	void shortObjectiveOfALessUrgentRouteDoesNotShortenOthersQueue() {
		assertThat(bounds(routeWithTwoModels(0, 4000), routeWithTwoModels(2, 500)).maxQueueMillis(0))
			.isEqualTo(bounds(routeWithTwoModels(0, 4000)).maxQueueMillis(0));
	}

	@Test
	void queueOfTheMostUrgentLeavesTimeToReadThePrompt() {
		assertThat(bounds(routeWithTwoModels(0, 1000)).maxQueueMillis(0)).isBetween(100.0, 900.0);
	}

	@Test
	void routesWithoutAChoiceOfModelsDoNotCount() {
		QueueBounds bounds = bounds(routeWithTwoModels(1, 4000), route(0, 100), route(0, 100, "only"));
		assertThat(bounds.maxQueueMillis(1)).isEqualTo(bounds(routeWithTwoModels(1, 4000)).maxQueueMillis(1));
	}

	/** Teams have their own ranks, which need not be the rank of any route. */
	@Test
	void rankBetweenThoseOfRoutesCountsAsTheNextMoreUrgent() {
		QueueBounds bounds = bounds(routeWithTwoModels(1, 1000), routeWithTwoModels(5, 1000));
		assertThat(bounds.maxQueueMillis(3)).isEqualTo(bounds.maxQueueMillis(1));
		assertThat(bounds.maxQueueMillis(9)).isEqualTo(bounds.maxQueueMillis(5));
		assertThat(bounds.maxQueueMillis(0)).isEqualTo(bounds.maxQueueMillis(1));
	}

	@Test
	void noQueueMayBeJoinedWithoutRoutes() {
		assertThat(bounds().maxQueueMillis(0)).isZero();
	}

	/**
	 * A burst of one kind of request fills the larger model's queue.
	 */
	@Nested
	class WhileAQueueGrowsAndShrinks {

		private final ModelSelector selector = ModelSelector.withQueueBounds();

		private final QueueBounds bounds = bounds(routeWithTwoModels(0, 1500), routeWithTwoModels(1, 2000),
				routeWithTwoModels(2, 4000));

		private boolean canJoin(int rank, double queueMillis) {
			Replica replica = new Replica(new ReplicaId("engine"), new ServiceName("engines"),
					new Address("10.0.0.1", 80), "a", "v1", 64, false, 1);
			double readMillis = 300;
			ReplicaChoice choice = new ReplicaChoice(replica, new EngineLoad(4000, 0, 1, false),
					new DelayEstimate(queueMillis + readMillis, 100), readMillis, Slowdown.NONE, 0);
			return this.selector.canJoinQueue(this.bounds, rank, choice, 8000);
		}

		@Test
		void leastUrgentRankStopsJoiningFirstAndResumesWhenTheQueueIsGone() {
			assertThat(List.of(canJoin(0, 50), canJoin(1, 50), canJoin(2, 50))).containsOnly(true);
			assertThat(List.of(canJoin(0, 500), canJoin(1, 500), canJoin(2, 500))).containsExactly(true, true, false);
			assertThat(List.of(canJoin(0, 800), canJoin(1, 800), canJoin(2, 800))).containsExactly(true, false, false);
			assertThat(List.of(canJoin(0, 2000), canJoin(1, 2000), canJoin(2, 2000))).containsOnly(false);
			assertThat(canJoin(2, 50)).isTrue();
		}

		/** Guards against work for callers who will have left. */
		@Test
		void noRequestJoinsWithTooLittleTimeLeft() {
			ReplicaChoice slow = new ReplicaChoice(null, new EngineLoad(40_000, 0, 1, false),
					new DelayEstimate(5000, 100), 4900, Slowdown.NONE, 0);
			assertThat(this.selector.canJoinQueue(this.bounds, 0, slow, 3000)).isFalse();
		}

		@Test
		void lateAnswersDoNotChangeTheSufficientConfidence() {
			double before = this.selector.sufficientConfidence();
			for (int i = 0; i < 50; i++) {
				this.selector.recordAnswer(routeWithTwoModels(0, 1500), "large", 4000, 0);
			}
			assertThat(this.selector.sufficientConfidence()).isEqualTo(before);
		}

	}

}
