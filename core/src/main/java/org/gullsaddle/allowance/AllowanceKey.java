package org.gullsaddle.allowance;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * Identifies an allowance: that of a team for a template.
 *
 * @param template the template
 * @param team the team
 */
public record AllowanceKey(TemplateName template, TeamId team) {

	@Override
	public String toString() {
		return this.template + "/" + this.team;
	}

}
