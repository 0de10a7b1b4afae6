package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * Identifies a replica. A replica may start again under the id that it had.
 *
 * @param value the text form, never {@code null}
 */
public record ReplicaId(String value) implements Comparable<ReplicaId> {

	public ReplicaId {
		Check.notNull(value, "replica");
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
