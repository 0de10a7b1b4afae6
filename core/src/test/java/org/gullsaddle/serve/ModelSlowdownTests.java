package org.gullsaddle.serve;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.ModelSize;

import static org.assertj.core.api.Assertions.assertThat;

class ModelSlowdownTests {

	private static final List<ModelSize> THREE = List.of(new ModelSize("half", 0.5), new ModelSize("one", 1),
			new ModelSize("two", 2));

	@Test
	void slowdownIsThePriceRelativeToTheCheapestModel() {
		assertThat(ModelSlowdown.of("half", THREE)).isEqualTo(1);
		assertThat(ModelSlowdown.of("two", THREE)).isEqualTo(4);
		assertThat(ModelSlowdown.of("unknown", THREE)).isEqualTo(1);
	}

	/** Guards against size classes that fit the prices of one deployment only. */
	@Test
	void sizeClassDependsOnTheModelsOfTheService() {
		assertThat(ModelSlowdown.sizeClass("half", THREE)).isEqualTo(ModelSizeClass.SMALL);
		assertThat(ModelSlowdown.sizeClass("one", THREE)).isEqualTo(ModelSizeClass.LARGE);
		assertThat(ModelSlowdown.sizeClass("two", THREE)).isEqualTo(ModelSizeClass.LARGE);
	}

	@Test
	void modelsWithAboutTheSamePriceAreSimilar() {
		assertThat(ModelSlowdown.sizeClass("only", List.of(new ModelSize("only", 7))))
			.isEqualTo(ModelSizeClass.SIMILAR);
		assertThat(ModelSlowdown.sizeClass("b", List.of(new ModelSize("a", 1), new ModelSize("b", 1.2))))
			.isEqualTo(ModelSizeClass.SIMILAR);
		assertThat(ModelSlowdown.sizeClass("any", List.of())).isEqualTo(ModelSizeClass.SIMILAR);
	}

}
