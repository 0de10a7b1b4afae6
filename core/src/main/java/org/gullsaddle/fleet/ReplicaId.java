package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * Identifies a replica. A restarted replica may keep its id.
 *
 * @param value the text form, not {@code null}
 */
public record ReplicaId(String value) implements Comparable<ReplicaId> {

	public ReplicaId {
		Check.notEmpty(value, "replica");
	}

	@Override
	public int compareTo(ReplicaId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
