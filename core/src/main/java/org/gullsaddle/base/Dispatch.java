package org.gullsaddle.base;

/**
 * One attempt as an entry hands it to an agent.
 *
 * @param attempt the attempt
 * @param team the team, whose part of the queue it takes
 * @param template the template it was decided under
 * @param revision the revision of that template
 * @param version the version to run
 * @param pinned whether the request's session already had the version
 * @param rank work of a higher rank goes first
 * @param weight the team's part among equal ranks
 * @param deadline when it must be answered, in milliseconds on the entry's clock
 * @param repeatable whether it may be run again
 * @param alone whether nothing else may run beside it, as it is suspected of a crash
 * @param fingerprint the hash of its team and content
 * @param resume the text already delivered, which the answer must go on from; empty at
 * first
 * @param body what is handed to the backend server
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
