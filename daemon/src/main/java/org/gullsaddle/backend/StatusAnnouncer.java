package org.gullsaddle.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.wire.Frame;

/**
 * Sends entries the agent's status: the whole status when they connect or when its
 * versions change, otherwise only the load.
 * <p>
 * An entry that connects during a probe of the backend server may receive the status from
 * before the probe after the one that followed it. The versions last sent to each entry
 * are therefore remembered, and the next probe sends the status again if they differ.
 */
final class StatusAnnouncer {

	private final Map<NodeId, Set<ModelVersion>> announcedVersions = new HashMap<>();

	/**
	 * Sends an entry the whole status.
	 * @param entry the entry
	 * @param status the agent's current status
	 * @param link sends the frame
	 */
	synchronized void sendStatus(NodeId entry, Frame.Status status, Consumer<Frame> link) {
		link.accept(status);
		this.announcedVersions.put(entry, status.agent().versions());
	}

	/**
	 * Sends an entry the changes after a probe: the whole status if the versions differ
	 * from those last sent, otherwise the load.
	 * @param entry the entry
	 * @param status the agent's current status
	 * @param link sends the frame
	 */
	synchronized void sendChanges(NodeId entry, Frame.Status status, Consumer<Frame> link) {
		if (status.agent().versions().equals(this.announcedVersions.get(entry))) {
			link.accept(new Frame.Load(status.agent().load()));
		}
		else {
			sendStatus(entry, status, link);
		}
	}

	/**
	 * Forgets what was sent to an entry whose link is down.
	 * @param entry the entry
	 */
	synchronized void onEntryDown(NodeId entry) {
		this.announcedVersions.remove(entry);
	}

}
