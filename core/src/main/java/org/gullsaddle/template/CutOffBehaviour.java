package org.gullsaddle.template;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What a node does for a team once it can no longer tell whether the configuration it
 * holds is the one in force.
 */
public enum CutOffBehaviour {

	/** Goes on with the configuration it holds. */
	SERVE("serve"),
	/** Refuses, so that a withdrawn version cannot be used for lack of news. */
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
