package org.gullsaddle.entry;

import org.gullsaddle.settings.Role;
import org.gullsaddle.wire.Frame;
import org.gullsaddle.wire.PeerLink;
import org.gullsaddle.wire.PeerListener;

/**
 * Links that other entries dialed: they bring templates and what others know, and take no
 * work.
 */
final class InboundPeerListener implements PeerListener {

	private final EntryNode node;

	InboundPeerListener(EntryNode node) {
		this.node = node;
	}

	@Override
	public void up(PeerLink link) {
		if (link.peerRole() == Role.ENTRY) {
			this.node.sendSuspects(link);
		}
		else {
			link.close();
		}
	}

	@Override
	public void frame(PeerLink link, Frame frame) {
		if (frame instanceof Frame.Templates || frame instanceof Frame.Suspect || frame instanceof Frame.Halted
				|| frame instanceof Frame.Copy || frame instanceof Frame.Recorded) {
			this.node.frame(link, frame);
		}
	}

	@Override
	public void down(PeerLink link) {
		// This node dials the other one itself, and hears there whether it lives.
	}

}
