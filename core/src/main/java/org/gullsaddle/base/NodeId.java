package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one process of the system, entry or agent.
 *
 * @param value the text form, 1 to 64 characters, not {@code null}
 */
public record NodeId(@JsonValue String value) implements Comparable<NodeId> {

	private static final int MAX_LENGTH = 64;

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public NodeId {
		Check.checkId(value, "node id", MAX_LENGTH);
	}

	@Override
	public int compareTo(NodeId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
