package org.gullsaddle.template;

import org.gullsaddle.base.Check;

/**
 * An accepted revision of a template, as kept in the platform's store.
 *
 * @param revision counts the template's accepted changes from 1
 * @param changeId chosen by the writer, to recognise its own write when the store's
 * answer was lost
 * @param author the operator who changed it
 * @param time when it was written, in milliseconds since the epoch by the writer's clock
 * @param yaml the text as the operator wrote it
 * @param template the template parsed from it
 */
public record TemplateRevision(long revision, String changeId, String author, long time, String yaml,
		Template template) {

	public TemplateRevision {
		Check.that(revision > 0, "revision must be positive");
		Check.notNull(changeId, "changeId");
		Check.notNull(author, "author");
		Check.notNull(yaml, "yaml");
		Check.notNull(template, "template");
	}

}
