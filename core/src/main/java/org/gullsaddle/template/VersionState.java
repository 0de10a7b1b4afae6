package org.gullsaddle.template;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * What may run on a version.
 */
public enum VersionState {

	/** New sessions and requests may start. */
	ACTIVE("active"),
	/** Sessions that have the version keep it; no new ones start. */
	RETIRING("retiring"),
	/** Nothing new runs; sessions move to another version once. */
	WITHDRAWN("withdrawn");

	private final String text;

	VersionState(String text) {
		this.text = text;
	}

	@JsonValue
	@Override
	public String toString() {
		return this.text;
	}

}
