package org.gullsaddle.wire;

/**
 * Hears of links to other nodes. Calls for one link come one after another; calls for
 * different links may come at once.
 */
public interface PeerListener {

	/**
	 * A link is up.
	 * @param link the link
	 */
	void onLinkUp(PeerLink link);

	/**
	 * A frame came.
	 * @param link the link
	 * @param frame the frame
	 */
	void onFrame(PeerLink link, Frame frame);

	/**
	 * A link that was up is gone; no frame of it comes after.
	 * @param link the link
	 */
	void onLinkDown(PeerLink link);

	/**
	 * A link closed before it was up, such as for a wrong key.
	 * @param link the link
	 */
	default void onLinkFailed(PeerLink link) {
	}

}
