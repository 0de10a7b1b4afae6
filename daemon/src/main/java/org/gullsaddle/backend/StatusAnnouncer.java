package org.gullsaddle.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.wire.Frame;

/**
 * Tells entries what this agent serves: all of it when they link and when it changes,
 * else only the load.
 * <p>
 * An entry that links while the backend server is probed may get the status from before
 * the probe after that from behind it. What each entry was told last is remembered, so
 * that the next probe tells it anew.
 */
final class StatusAnnouncer {

	private final Map<NodeId, Set<ModelVersion>> announcedVersions = new HashMap<>();

	/**
	 * Tells an entry everything.
	 * @param entry the entry
	 * @param status what the agent serves
	 * @param link takes the frame
	 */
	synchronized void sendStatus(NodeId entry, Frame.Status status, Consumer<Frame> link) {
		link.accept(status);
		this.announcedVersions.put(entry, status.agent().versions());
	}

	/**
	 * Tells an entry what is new after a probe.
	 * @param entry the entry
	 * @param status what the agent serves
	 * @param link takes the frame
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
	 * Forgets an entry whose link is down.
	 * @param entry the entry
	 */
	synchronized void onEntryDown(NodeId entry) {
		this.announcedVersions.remove(entry);
	}

}
