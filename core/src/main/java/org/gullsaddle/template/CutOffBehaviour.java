package org.gullsaddle.template;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What a node does with a team's requests when it is cut off, so that its configuration
 * may be outdated.
 */
public enum CutOffBehaviour {

	/** Serves with the configuration that the node has. */
	SERVE("serve"),
	/**
	 * Refuses, so that a withdrawn version is not used because the withdrawal did not
	 * arrive.
	 */
	REFUSE("refuse");

	private final String text;

	CutOffBehaviour(String text) {
		this.text = text;
	}

	@JsonValue
	@Override
	public String toString() {
		return this.text;
	}

}
