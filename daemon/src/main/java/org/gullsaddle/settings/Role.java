package org.gullsaddle.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What a node does.
 */
public enum Role {

	/** Takes callers' requests and decides where they run. */
	ENTRY("entry"),
	/** Stands beside one backend server and guards it. */
	AGENT("agent");

	private final String text;

	Role(String text) {
		this.text = text;
	}

	@JsonValue
	@Override
	public String toString() {
		return this.text;
	}

}
