package org.gullsaddle.route;

import java.util.Optional;

import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.suspect.SuspectTracker;
import org.gullsaddle.template.CutOffBehaviour;
import org.gullsaddle.template.TeamRule;
import org.gullsaddle.template.TemplateTable;

/**
 * Refuses at once what need not be tried.
 */
final class Gate {

	private static final long COME_BACK_MILLIS = 1000;

	private static final long CUT_OFF_COME_BACK_MILLIS = 5000;

	private final RouterSettings settings;

	private final TemplateTable templates;

	private final SuspectTracker suspects;

	private final ComeBack comeBack;

	private boolean cutOff;

	Gate(RouterSettings settings, TemplateTable templates, SuspectTracker suspects, ComeBack comeBack) {
		this.settings = settings;
		this.templates = templates;
		this.suspects = suspects;
		this.comeBack = comeBack;
	}

	void cutOff(boolean isCutOff) {
		this.cutOff = isCutOff;
	}

	/**
	 * Returns the refusal of a request that is not to be let in, or empty.
	 */
	Optional<Refusal> check(Moment now, IncomingRequest request, int open) {
		TeamRule team = this.templates.find(request.template())
			.flatMap((revision) -> revision.template().findTeam(request.team()))
			.orElse(null);
		if (team == null) {
			return Optional.of(Refusal.notRun(RefusalReason.NO_TEMPLATE, 0));
		}
		if (open >= this.settings.maxOpenRequests()) {
			return Optional.of(this.comeBack.later(RefusalReason.OVERLOADED, COME_BACK_MILLIS));
		}
		if (this.cutOff && team.cutOff() == CutOffBehaviour.REFUSE) {
			return Optional.of(this.comeBack.later(RefusalReason.FORBIDDEN, CUT_OFF_COME_BACK_MILLIS));
		}
		if (this.suspects.isBlocked(request.fingerprint())) {
			return Optional.of(Refusal.notRun(RefusalReason.POISON, 0));
		}
		if (request.deadline() <= now.millis()) {
			return Optional.of(this.comeBack.later(RefusalReason.DEADLINE, COME_BACK_MILLIS));
		}
		return Optional.empty();
	}

}
