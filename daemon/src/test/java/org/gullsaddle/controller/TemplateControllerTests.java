package org.gullsaddle.controller;

import org.junit.jupiter.api.Test;

import org.gullsaddle.store.StoreException;
import org.gullsaddle.telemetry.NodeClock;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.yaml.YamlException;

import static org.assertj.core.api.Assertions.assertThat;

class TemplateControllerTests {

	private static final String YAML = """
			template: t
			versions: [{version: m@v1}]
			teams: {a: {requestsPerSecond: 1, concurrent: 1, dollarsPerDay: 1}}
			""";

	private final LossyStore store = new LossyStore();

	private final TemplateController first = controller();

	private final TemplateController second = controller();

	private TemplateController controller() {
		return new TemplateController(this.store, "p/", new NodeClock());
	}

	private static Template template() {
		try {
			return Template.parse(YAML);
		}
		catch (YamlException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String change(TemplateController controller, long expected, String author) {
		return controller.change(template(), YAML, expected, author)
			.map((revision) -> "revision " + revision.revision() + " by " + revision.author())
			.onErrorReturn((failure) -> failure.getClass().getSimpleName()
					+ ((failure instanceof StoreException lost) ? " unknown " + lost.unknown() : ""))
			.blockingGet();
	}

	@Test
	void changeIsInForceImmediately() {
		assertThat(change(this.first, 0, "ann")).isEqualTo("revision 1 by ann");
		assertThat(this.first.find(template().name())).map(TemplateRevision::revision).contains(1L);
	}

	@Test
	void secondOfTwoOperatorsGetsAConflict() {
		change(this.first, 0, "ann");
		assertThat(change(this.second, 0, "bo")).isEqualTo("ConflictException");
	}

	/**
	 * The store applies the change but its answer is lost; the change is still reported
	 * as accepted.
	 */
	@Test
	void acceptedChangeIsFoundAfterLostAnswer() {
		this.store.loseNextWrite(LossyStore.Loss.AFTER_APPLY, () -> {
		});
		assertThat(change(this.first, 0, "ann")).isEqualTo("revision 1 by ann");
	}

	/**
	 * The answer is lost, and another operator changes the template before the first
	 * entry checks. The first change was applied and is reported as accepted.
	 */
	@Test
	void overwrittenChangeIsFoundAfterLostAnswer() {
		this.store.loseNextWrite(LossyStore.Loss.AFTER_APPLY, () -> change(this.second, 1, "bo"));
		assertThat(change(this.first, 0, "ann")).isEqualTo("revision 1 by ann");
		assertThat(this.second.history(template().name(), 10).blockingGet()).extracting(TemplateRevision::author)
			.containsExactly("ann", "bo");
	}

	/**
	 * The change never reaches the store and another operator stores one with the same
	 * revision. The first operator gets a conflict, not a success.
	 */
	@Test
	void lostChangeReplacedByAnotherIsAConflict() {
		this.store.loseNextWrite(LossyStore.Loss.BEFORE_APPLY, () -> change(this.second, 0, "bo"));
		assertThat(change(this.first, 0, "ann")).isEqualTo("ConflictException");
	}

	@Test
	void lostChangeIsReportedAsUnknown() {
		this.store.loseNextWrite(LossyStore.Loss.BEFORE_APPLY, () -> {
		});
		assertThat(change(this.first, 0, "ann")).isEqualTo("StoreException unknown true");
		assertThat(this.first.find(template().name())).isEmpty();
	}

}
