package org.gullsaddle.template;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The kind of backend server that a template routes to.
 */
public enum TemplateKind {

	/** Model engines, through chat completions. */
	CHAT("chat"),
	/** A plain service, through pass-through calls. */
	SERVICE("service");

	private final String text;

	TemplateKind(String text) {
		this.text = text;
	}

	@JsonValue
	@Override
	public String toString() {
		return this.text;
	}

}
