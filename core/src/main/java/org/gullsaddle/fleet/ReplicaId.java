package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * Identifies a replica. A restarted replica may keep its id.
 *
 * @param value the text form, printable ASCII without spaces, not {@code null}
 */
public record ReplicaId(String value) implements Comparable<ReplicaId> {

	private static final int DELETE = 0x7f;

	public ReplicaId {
		Check.notEmpty(value, "replica");
		Check.that(value.chars().allMatch(ReplicaId::isPrintable), "replica must be printable ASCII without spaces");
	}

	private static boolean isPrintable(int character) {
		return character > ' ' && character < DELETE;
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
