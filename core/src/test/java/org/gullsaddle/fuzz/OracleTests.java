package org.gullsaddle.fuzz;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the oracle itself: it reports each planted fault as a violation of the guarantee
 * that the fault breaks.
 */
class OracleTests {

	private static final int SCENARIOS = 400;

	@ParameterizedTest
	@EnumSource(value = PlantedFault.class, mode = EnumSource.Mode.EXCLUDE, names = "NONE")
	void plantedFaultIsCaught(PlantedFault plant) {
		assertThat(FuzzRun.firstViolation(plant, SCENARIOS, plant.guarantee())).startsWith(plant.guarantee() + ":");
	}

}
