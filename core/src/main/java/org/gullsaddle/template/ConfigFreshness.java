package org.gullsaddle.template;

import java.util.Collection;

/**
 * Decides whether a node that lost the store may have an outdated configuration.
 */
public final class ConfigFreshness {

	private ConfigFreshness() {
	}

	/**
	 * Returns whether a node must treat its configuration as possibly outdated.
	 * <p>
	 * A change is accepted only through an entry that reaches the store. While no entry
	 * reaches it, as in an outage, no change is possible and a node's configuration is in
	 * force. An unreachable entry may be accepting changes on the other side of a network
	 * partition; then a node's configuration may be outdated, and a version withdrawn
	 * there would get new work here.
	 * @param ownAgeMillis how long ago the node last had contact with the store, in
	 * milliseconds
	 * @param limitMillis the largest age that counts as contact, in milliseconds
	 * @param peers the other entries in the VM list
	 * @return true if the node is cut off
	 */
	public static boolean isCutOff(long ownAgeMillis, long limitMillis, Collection<Peer> peers) {
		if (ownAgeMillis <= limitMillis) {
			return false;
		}
		if (peers.stream().anyMatch((peer) -> peer.reachable() && peer.ageMillis() <= limitMillis)) {
			return false;
		}
		return peers.stream().anyMatch((peer) -> !peer.reachable());
	}

	/**
	 * Another entry node.
	 *
	 * @param reachable whether there is a link to it
	 * @param ageMillis how long ago it last had contact with the store, as it last
	 * reported, in milliseconds
	 */
	public record Peer(boolean reachable, long ageMillis) {
	}

}
