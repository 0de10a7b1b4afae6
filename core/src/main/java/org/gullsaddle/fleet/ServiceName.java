package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * The name of a service, a group of replicas that serve the same requests.
 *
 * @param value the text form, not {@code null}
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

	public ServiceName {
		Check.notEmpty(value, "service");
	}

	@Override
	public int compareTo(ServiceName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
