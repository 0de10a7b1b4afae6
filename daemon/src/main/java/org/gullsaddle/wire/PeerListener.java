package org.gullsaddle.wire;

/**
 * Receives the events of links to other nodes. Calls for one link are sequential; calls
 * for different links may be concurrent.
 */
public interface PeerListener {

	/**
	 * Handles a link that has been established.
	 * @param link the link
	 */
	void onLinkUp(PeerLink link);

	/**
	 * Handles a received frame.
	 * @param link the link
	 * @param frame the frame
	 */
	void onFrame(PeerLink link, Frame frame);

	/**
	 * Handles the end of an established link; no frame of it follows.
	 * @param link the link
	 */
	void onLinkDown(PeerLink link);

	/**
	 * Handles a link that closed before it was established, for example for a wrong key.
	 * @param link the link
	 */
	default void onLinkFailed(PeerLink link) {
	}

}
