package org.gullsaddle.gateway;

import org.gullsaddle.base.Check;

/**
 * Settings of a deployment about its load and memory.
 *
 * @param pressure whether callers compete for scarce capacity and may read slowly
 * @param memoryLimitBytes memory limit of the process, in bytes, 0 if unknown
 * @param maxDescriptors number of descriptors that the process may open
 */
public record LoadSettings(boolean pressure, long memoryLimitBytes, int maxDescriptors) {

	/** Number of descriptors if the settings give none. */
	public static final int DEFAULT_MAX_DESCRIPTORS = 4096;

	/** Descriptors that are kept for files. */
	private static final int FILE_DESCRIPTORS = 200;

	/**
	 * One part in this many of the sockets is kept for the store and for replicas.
	 */
	private static final int OUTBOUND_DIVISOR = 4;

	/** Settings of a deployment that gives none. */
	public static final LoadSettings DEFAULTS = new LoadSettings(false, 0, DEFAULT_MAX_DESCRIPTORS);

	public LoadSettings {
		Check.that(memoryLimitBytes >= 0, "memoryLimitBytes must not be negative");
		Check.that(maxDescriptors > FILE_DESCRIPTORS, "maxDescriptors must be more than " + FILE_DESCRIPTORS);
	}

	/**
	 * Returns the largest number of connections from clients. The rest of the descriptors
	 * is for files, and for connections to the store and to replicas.
	 * @return the number, at least 1
	 */
	public int maxClientConnections() {
		int sockets = this.maxDescriptors - FILE_DESCRIPTORS;
		return Math.max(1, sockets - sockets / OUTBOUND_DIVISOR);
	}

}
