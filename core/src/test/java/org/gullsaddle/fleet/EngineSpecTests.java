package org.gullsaddle.fleet;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import org.gullsaddle.serve.Prompt;

import static org.assertj.core.api.Assertions.assertThat;

class EngineSpecTests {

	private final EngineSpec engine = new EngineSpec(8, 1000, 4, List.of());

	/**
	 * Guards against a replica that crashes on a request that does not fit into its
	 * memory.
	 */
	@Test
	void requestFitsWithAllThatItMayGenerate() {
		assertThat(this.engine.fits(new Prompt(900, 100, OptionalInt.of(5), List.of()).maxTokens())).isTrue();
		assertThat(this.engine.fits(new Prompt(900, 101, OptionalInt.of(5), List.of()).maxTokens())).isFalse();
		assertThat(this.engine.fits(Prompt.NONE.maxTokens())).isTrue();
	}

	@Test
	void tokensThatOverflowAnIntDoNotFit() {
		Prompt prompt = new Prompt(Integer.MAX_VALUE, Integer.MAX_VALUE, OptionalInt.empty(), List.of());
		assertThat(this.engine.fits(prompt.maxTokens())).isFalse();
	}

}
