package org.gullsaddle.template;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Which work may run on a version.
 */
public enum VersionState {

	/** New sessions and requests may start on it. */
	ACTIVE("active"),
	/** Sessions pinned to the version keep it; no new ones start. */
	RETIRING("retiring"),
	/** No new work runs; sessions move to another version once. */
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
