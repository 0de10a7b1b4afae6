package org.gullsaddle.fleet;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RegionLimitTests {

	private static final RegionLimit NORTH = RegionLimit.of(List.of("north"));

	private static final RegionLimit SOUTH = RegionLimit.of(List.of("south"));

	@Test
	void noRegionsAreNoLimit() {
		assertThat(RegionLimit.of(List.of()).allows("anywhere")).isTrue();
	}

	@Test
	void otherRegionsAreNotAllowed() {
		assertThat(NORTH.allows("north")).isTrue();
		assertThat(NORTH.allows("south")).isFalse();
	}

	@Test
	void intersectionAllowsOnlyCommonRegions() {
		RegionLimit both = RegionLimit.of(List.of("north", "south")).intersect(NORTH);
		assertThat(both.allows("north")).isTrue();
		assertThat(both.allows("south")).isFalse();
	}

	/** Guards against two limits without a common region being taken as no limit. */
	@Test
	void limitsWithoutACommonRegionAllowNone() {
		assertThat(NORTH.intersect(SOUTH).allows("north")).isFalse();
		assertThat(NORTH.intersect(SOUTH).intersect(RegionLimit.ANYWHERE).allows("south")).isFalse();
	}

	@Test
	void intersectionWithNoLimitChangesNothing() {
		assertThat(RegionLimit.ANYWHERE.intersect(NORTH)).isEqualTo(NORTH);
		assertThat(NORTH.intersect(RegionLimit.ANYWHERE)).isEqualTo(NORTH);
	}

}
