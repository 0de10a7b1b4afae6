package org.gullsaddle.serve;

import java.util.List;

/**
 * What a node tells others of contents that broke off when their replicas crashed.
 *
 * @param crashes the crashes that it remembers
 */
public record CrashNote(List<Crash> crashes) {

	public CrashNote {
		crashes = List.copyOf(crashes);
	}

	/**
	 * A replica crashed while a content ran there.
	 *
	 * @param content the hash of the request's team and content
	 * @param replica the replica
	 * @param ageMillis how long ago, in milliseconds
	 */
	public record Crash(String content, String replica, long ageMillis) {
	}

}
