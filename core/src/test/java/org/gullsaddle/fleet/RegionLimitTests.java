package org.gullsaddle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RegionLimitTests {

	private static final RegionLimit NORTH = RegionLimit.to(List.of("north"));

	private static final RegionLimit SOUTH = RegionLimit.to(List.of("south"));

	@Test
	void noRegionsAreNoLimit() {
		assertThat(RegionLimit.to(List.of()).allows("anywhere")).isTrue();
	}

	@Test
	void otherRegionsAreNotAllowed() {
		assertThat(NORTH.allows("north")).isTrue();
		assertThat(NORTH.allows("south")).isFalse();
	}

	@Test
	void twoLimitsBothBind() {
		RegionLimit both = RegionLimit.to(List.of("north", "south")).and(NORTH);
		assertThat(both.allows("north")).isTrue();
		assertThat(both.allows("south")).isFalse();
	}

	/** Guards against two limits without a common region being taken as no limit. */
	@Test
	void limitsWithoutACommonRegionAllowNone() {
		assertThat(NORTH.and(SOUTH).allows("north")).isFalse();
		assertThat(NORTH.and(SOUTH).and(RegionLimit.ANYWHERE).allows("south")).isFalse();
	}

	@Test
	void noLimitAddsNothing() {
		assertThat(RegionLimit.ANYWHERE.and(NORTH)).isEqualTo(NORTH);
		assertThat(NORTH.and(RegionLimit.ANYWHERE)).isEqualTo(NORTH);
	}

}
