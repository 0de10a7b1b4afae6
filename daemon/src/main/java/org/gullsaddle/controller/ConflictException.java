package org.gullsaddle.controller;

import java.util.Optional;

import org.gullsaddle.template.TemplateRevision;

/**
 * Thrown when a template's current revision is not the one that a change was based on.
 */
public class ConflictException extends Exception {

	private final transient Optional<TemplateRevision> current;

	ConflictException(Optional<TemplateRevision> current) {
		super(current.map((held) -> "the template is at revision " + held.revision() + ", changed by " + held.author())
			.orElse("the template does not exist"));
		this.current = current;
	}

	/**
	 * Returns the template's current revision.
	 * @return the revision, or empty if the template does not exist
	 */
	public Optional<TemplateRevision> current() {
		return this.current;
	}

}
