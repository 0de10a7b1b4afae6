package org.gullsaddle.serve;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class LossTests {

	private static final long OBJECTIVE_MILLIS = 3000;

	private DelayEstimate delay = new DelayEstimate(100, 10);

	private EngineLoad load = new EngineLoad(0, 0, 0, false);

	private double readMillis;

	private Distance distance = Distance.SAME_DATA_CENTER;

	private double failureShare;

	private boolean dedicated = true;

	private double meanRequests;

	private ReplicaCandidate candidate(String replica) {
		Prompt prompt = new Prompt(1000, 10, OptionalInt.empty(), List.of(new PromptPart("p", 1000)));
		return new ReplicaCandidate(
				new Replica(new ReplicaId(replica), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", "v1",
						8, false, 1),
				new ReplicaTask("large", prompt, 15, ModelSizeClass.LARGE, 100_000, OBJECTIVE_MILLIS), this.load,
				this.delay, this.readMillis, Slowdown.NONE, this.distance, this.failureShare, this.dedicated,
				this.meanRequests);
	}

	private double loss(Loss loss) {
		return loss.estimate(candidate("e"));
	}

	@Test
	void unreadTokensCauseAReadingLoss() {
		assertThat(loss(new Loss.Reading())).isZero();
		this.load = new EngineLoad(10_000, 0, 0, false);
		assertThat(loss(new Loss.Reading())).isPositive();
	}

	@Test
	void otherRegionCostsMoreThanOtherDataCenter() {
		assertThat(loss(new Loss.Distance())).isZero();
		this.distance = Distance.SAME_REGION;
		double otherDataCenterLoss = loss(new Loss.Distance());
		this.distance = Distance.OTHER_REGION;
		assertThat(loss(new Loss.Distance())).isGreaterThan(otherDataCenterLoss);
	}

	@Test
	void failureLossIsProportionalToTheFailureShare() {
		this.failureShare = 0.5;
		assertThat(loss(new Loss.Failures())).isEqualTo(0.25);
	}

	@Test
	void preferenceIsStableForTheSamePartsAndReplica() {
		Loss preference = new Loss.Preference();
		assertThat(preference.estimate(candidate("e"))).isEqualTo(preference.estimate(candidate("e")))
			.isNotEqualTo(preference.estimate(candidate("f")));
	}

	@Nested
	class LatenessLoss {

		@Test
		void lateAnswerLosesMostOfItsValue() {
			LossTests.this.delay = new DelayEstimate(2 * OBJECTIVE_MILLIS, 10);
			assertThat(loss(new Loss.Lateness())).isGreaterThan(0.5);
		}

		@Test
		void soonerAnswerLosesLess() {
			double soonerLoss = loss(new Loss.Lateness());
			LossTests.this.delay = new DelayEstimate(1000, 10);
			assertThat(loss(new Loss.Lateness())).isGreaterThan(soonerLoss);
		}

		@Test
		void uncertainEstimateRaisesTheLoss() {
			LossTests.this.delay = new DelayEstimate(2500, 10);
			double certainLoss = loss(new Loss.Lateness());
			LossTests.this.delay = new DelayEstimate(2500, 1000);
			assertThat(loss(new Loss.Lateness())).isGreaterThan(certainLoss);
		}

	}

	@Nested
	class MixedSizesLoss {

		@Test
		void dedicatedReplicaCostsNothing() {
			LossTests.this.meanRequests = 10;
			assertThat(loss(new Loss.MixedSizes())).isZero();
		}

		/**
		 * Guards against a prompt of the largest model that is read for seconds on the
		 * only replica for the small one, where dozens of short requests wait behind it.
		 */
		@Test
		void longPromptOnANonDedicatedReplicaCostsMoreThanWaiting() {
			LossTests.this.dedicated = false;
			LossTests.this.meanRequests = 5;
			LossTests.this.readMillis = 2000;
			LossTests.this.delay = new DelayEstimate(OBJECTIVE_MILLIS, 300);
			assertThat(loss(new Loss.MixedSizes())).isGreaterThan(loss(new Loss.Lateness()));
		}

		@Test
		void growsWithTheNumberOfRequests() {
			LossTests.this.dedicated = false;
			double idleLoss = loss(new Loss.MixedSizes());
			LossTests.this.meanRequests = 10;
			assertThat(loss(new Loss.MixedSizes())).isGreaterThan(idleLoss);
		}

	}

}
