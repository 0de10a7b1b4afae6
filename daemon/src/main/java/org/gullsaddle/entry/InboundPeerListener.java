package org.gullsaddle.entry;

import org.gullsaddle.settings.Role;
import org.gullsaddle.wire.Frame;
import org.gullsaddle.wire.PeerLink;
import org.gullsaddle.wire.PeerListener;

/**
 * Handles links that other entries opened to this node. They carry templates, suspects,
 * halts and records, but no attempts.
 */
final class InboundPeerListener implements PeerListener {

	private final EntryNode node;

	InboundPeerListener(EntryNode node) {
		this.node = node;
	}

	@Override
	public void onLinkUp(PeerLink link) {
		if (link.peerRole() == Role.ENTRY) {
			this.node.sendSuspects(link);
		}
		else {
			link.close();
		}
	}

	@Override
	public void onFrame(PeerLink link, Frame frame) {
		if (frame instanceof Frame.Templates || frame instanceof Frame.Suspect || frame instanceof Frame.Halted
				|| frame instanceof Frame.Copy || frame instanceof Frame.Recorded) {
			this.node.onFrame(link, frame);
		}
	}

	@Override
	public void onLinkDown(PeerLink link) {
		// This node has its own link to the other entry and detects failures there.
	}

}
