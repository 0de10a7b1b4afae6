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
 * Checks whether a new request may be tried, or is refused at once.
 */
final class RequestAdmission {

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final long CUT_OFF_RETRY_AFTER_MILLIS = 5000;

	private final RouterSettings settings;

	private final TemplateTable templates;

	private final SuspectTracker suspects;

	private final RetryAfterJitter retryAfter;

	private boolean cutOff;

	RequestAdmission(RouterSettings settings, TemplateTable templates, SuspectTracker suspects,
			RetryAfterJitter retryAfter) {
		this.settings = settings;
		this.templates = templates;
		this.suspects = suspects;
		this.retryAfter = retryAfter;
	}

	void setCutOff(boolean isCutOff) {
		this.cutOff = isCutOff;
	}

	/**
	 * Checks a new request.
	 * @param now the time of its arrival
	 * @param request the request
	 * @param openCount the number of open requests
	 * @return the refusal, or empty if the request may be tried
	 */
	Optional<Refusal> check(Moment now, IncomingRequest request, int openCount) {
		TeamRule team = this.templates.find(request.template())
			.flatMap((revision) -> revision.template().findTeam(request.team()))
			.orElse(null);
		if (team == null) {
			return Optional.of(Refusal.notRun(RefusalReason.NO_TEMPLATE, 0));
		}
		if (openCount >= this.settings.maxOpenRequests()) {
			return Optional.of(this.retryAfter.notRun(RefusalReason.OVERLOADED, RETRY_AFTER_MILLIS));
		}
		if (this.cutOff && team.cutOff() == CutOffBehaviour.REFUSE) {
			return Optional.of(this.retryAfter.notRun(RefusalReason.FORBIDDEN, CUT_OFF_RETRY_AFTER_MILLIS));
		}
		if (this.suspects.isBlocked(request.fingerprint())) {
			return Optional.of(Refusal.notRun(RefusalReason.POISON, 0));
		}
		if (request.deadline() <= now.millis()) {
			return Optional.of(this.retryAfter.notRun(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS));
		}
		return Optional.empty();
	}

}
