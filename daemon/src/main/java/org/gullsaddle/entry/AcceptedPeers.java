package org.gullsaddle.entry;

import org.gullsaddle.settings.Role;
import org.gullsaddle.wire.Frame;
import org.gullsaddle.wire.PeerLink;
import org.gullsaddle.wire.PeerListener;

/**
 * Links that other entries dialed: they bring templates and what others know, and take no
 * work.
 */
final class AcceptedPeers implements PeerListener {

	private final EntryNode node;

	AcceptedPeers(EntryNode node) {
		this.node = node;
	}

	@Override
	public void onLinkUp(PeerLink link) {
		if (link.peerRole() == Role.ENTRY) {
			this.node.tellSuspects(link);
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
		// This node dials the other one itself, and hears there whether it lives.
	}

}
