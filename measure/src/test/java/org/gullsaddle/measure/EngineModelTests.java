package org.gullsaddle.measure;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.serve.PromptPart;

import static org.assertj.core.api.Assertions.assertThat;

class EngineModelTests {

	private final Timeline time = new Timeline();

	private final EngineModel engine = new EngineModel(EngineShape.LARGE_MODELS, this.time);

	private Times send(ModelKind model, int output, PromptPart... parts) {
		Times times = new Times();
		this.engine.take(new EngineJob(model.name(), model.pace(), List.of(parts), output, times));
		return times;
	}

	@Nested
	class AlonePrompt {

		@Test
		void isReadAtThePaceOfItsModel() {
			Times small = send(ModelKind.SMALL, 1, new PromptPart("p", 10_000));
			EngineModelTests.this.time.run();
			assertThat(small.first).isBetween(10_000 * 0.3 / 37.9, 10_000 * 0.3 / 37.9 + 10);
		}

		@Test
		void isNotReadAgainWhereItIsKept() {
			send(ModelKind.LARGE, 1, new PromptPart("p", 10_000));
			EngineModelTests.this.time.run();
			send(ModelKind.LARGE, 1, new PromptPart("p", 10_000), new PromptPart("q", 100));
			EngineModelTests.this.time.run();
			assertThat(EngineModelTests.this.engine.readTokens()).isEqualTo(10_100);
		}

		@Test
		void isReadAgainByAnotherModel() {
			send(ModelKind.LARGE, 1, new PromptPart("p", 10_000));
			send(ModelKind.SMALL, 1, new PromptPart("p", 10_000));
			EngineModelTests.this.time.run();
			assertThat(EngineModelTests.this.engine.readTokens()).isEqualTo(20_000);
		}

	}

	/**
	 * A batch steps at the pace of its slowest model: a small model's answer takes ten
	 * times as long beside a large one's.
	 */
	@Nested
	class SizesInOneBatch {

		@Test
		void slowDownToTheLargest() {
			Times alone = send(ModelKind.SMALL, 100, new PromptPart("p", 1));
			EngineModelTests.this.time.run();
			double aloneTook = alone.end;
			double from = EngineModelTests.this.time.now();
			send(ModelKind.LARGE, 1000, new PromptPart("q", 1));
			Times beside = send(ModelKind.SMALL, 100, new PromptPart("r", 1));
			EngineModelTests.this.time.run();
			assertThat((beside.end - from) / aloneTook).isBetween(9.0, 12.0);
		}

	}

	private final class Times implements EngineJob.Listener {

		private double first;

		private double end;

		@Override
		public void first(double now) {
			this.first = now;
		}

		@Override
		public void ended() {
			this.end = EngineModelTests.this.time.now();
		}

	}

}
