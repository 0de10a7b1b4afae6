package org.gullsaddle.controller;

import java.util.Optional;

import org.gullsaddle.template.TemplateRevision;

/**
 * A template was changed by someone else since the revision that a change was made from.
 */
public class ConflictException extends Exception {

	private final transient Optional<TemplateRevision> current;

	ConflictException(Optional<TemplateRevision> present) {
		super(present.map((held) -> "the template is at revision " + held.revision() + ", changed by " + held.author())
			.orElse("the template does not exist"));
		this.current = present;
	}

	/**
	 * Returns the revision found.
	 * @return the revision, or empty if the template does not exist
	 */
	public Optional<TemplateRevision> current() {
		return this.current;
	}

}
