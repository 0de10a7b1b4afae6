package org.gullsaddle.base;

/**
 * An attempt that an entry sends to an agent.
 *
 * @param attempt the attempt
 * @param team the team whose share of the queue it uses
 * @param template the template under which it was decided
 * @param revision the revision of that template
 * @param version the version to run
 * @param pinned whether the request's session is already pinned to the version
 * @param rank its priority; higher ranks go first
 * @param weight the team's weight among equal ranks
 * @param deadline when it must be answered, in milliseconds on the entry's clock
 * @param repeatable whether it may be retried
 * @param alone whether it must run alone, as its content is suspect
 * @param fingerprint the hash of its team and content
 * @param resume the text already delivered, from which the answer must continue; empty at
 * first
 * @param body the request body for the backend server
 */
public record Dispatch(AttemptId attempt, TeamId team, TemplateName template, long revision, ModelVersion version,
		boolean pinned, int rank, double weight, long deadline, boolean repeatable, boolean alone,
		Fingerprint fingerprint, String resume, String body) {

	public Dispatch {
		Check.notNull(attempt, "attempt");
		Check.notNull(team, "team");
		Check.notNull(template, "template");
		Check.notNull(version, "version");
		Check.notNull(fingerprint, "fingerprint");
		Check.notNull(resume, "resume");
		Check.notNull(body, "body");
		Check.that(weight > 0, "weight must be positive");
		Check.that(resume.isEmpty() || repeatable, "a call that may not be repeated cannot be resumed");
	}

}
