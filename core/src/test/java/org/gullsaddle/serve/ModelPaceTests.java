package org.gullsaddle.serve;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.ModelSize;

import static org.assertj.core.api.Assertions.assertThat;

class ModelPaceTests {

	private static final List<ModelSize> THREE = List.of(new ModelSize("half", 0.5), new ModelSize("one", 1),
			new ModelSize("two", 2));

	@Test
	void paceIsThePriceAgainstTheCheapestModels() {
		assertThat(ModelPace.of("half", THREE)).isEqualTo(1);
		assertThat(ModelPace.of("two", THREE)).isEqualTo(4);
		assertThat(ModelPace.of("unknown", THREE)).isEqualTo(1);
	}

	/** Guards against sizes that are told apart by the prices of one deployment. */
	@Test
	void scaleComesFromTheModelsThatThereAre() {
		assertThat(ModelPace.scale("half", THREE)).isEqualTo(ModelScale.SMALL);
		assertThat(ModelPace.scale("one", THREE)).isEqualTo(ModelScale.LARGE);
		assertThat(ModelPace.scale("two", THREE)).isEqualTo(ModelScale.LARGE);
	}

	@Test
	void modelsThatTakeAboutAsLongAreAlike() {
		assertThat(ModelPace.scale("only", List.of(new ModelSize("only", 7)))).isEqualTo(ModelScale.ALIKE);
		assertThat(ModelPace.scale("b", List.of(new ModelSize("a", 1), new ModelSize("b", 1.2))))
			.isEqualTo(ModelScale.ALIKE);
		assertThat(ModelPace.scale("any", List.of())).isEqualTo(ModelScale.ALIKE);
	}

}
