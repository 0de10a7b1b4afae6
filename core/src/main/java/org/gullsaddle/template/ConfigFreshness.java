package org.gullsaddle.template;

import java.util.Collection;

/**
 * Tells a node that lost the store whether others may be changing the configuration
 * without it.
 */
public final class ConfigFreshness {

	private ConfigFreshness() {
	}

	/**
	 * Says whether a node must take its configuration for possibly outdated.
	 * <p>
	 * A change is accepted only through an entry that reaches the store. While no entry
	 * reaches it, as in an outage, nobody can change anything and what a node holds is in
	 * force. An entry that cannot be reached may be accepting changes on the other side
	 * of a cut; then what a node holds can be outdated, and a version withdrawn over
	 * there would get new work here.
	 * @param ownAgeMillis how long ago the node last heard of the store, in milliseconds
	 * @param limitMillis how long ago still counts as hearing of it, in milliseconds
	 * @param peers the other entries on the VM list
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
	 * Another entry.
	 *
	 * @param reachable whether there is a link to it
	 * @param ageMillis how long ago it last heard of the store, as it last told, in
	 * milliseconds
	 */
	public record Peer(boolean reachable, long ageMillis) {
	}

}
