package org.gullsaddle.wire;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.settings.Role;

/**
 * The handshake of a link, in which each side proves that it knows the shared key.
 */
final class Handshake {

	/** The protocol version of this release. */
	private static final int PROTOCOL_VERSION = 1;

	private static final String DIALER = "dialer";

	private static final String ACCEPTOR = "acceptor";

	private final PeerIdentity self;

	private final PeerLink link;

	private final boolean accepted;

	private final Proof proof;

	private final String nonce = Proof.newNonce();

	private long challengeSentMillis;

	private Frame.Challenge challenge;

	Handshake(PeerIdentity self, PeerLink link, boolean accepted) {
		this.self = self;
		this.link = link;
		this.accepted = accepted;
		this.proof = new Proof(self.key());
	}

	void begin() {
		if (this.accepted) {
			this.challengeSentMillis = this.link.nowMillis();
			this.link.send(new Frame.Challenge(PROTOCOL_VERSION, this.self.node(), this.self.role(), this.nonce));
		}
	}

	void onFrame(Frame frame) throws FrameException {
		if (this.accepted && frame instanceof Frame.Hello hello) {
			onHello(hello);
		}
		else if (!this.accepted && this.challenge == null && frame instanceof Frame.Challenge first) {
			onChallenge(first);
		}
		else if (!this.accepted && this.challenge != null && frame instanceof Frame.Welcome welcome) {
			onWelcome(welcome);
		}
		else {
			throw new FrameException("a " + frame.getClass().getSimpleName() + " before the handshake is over");
		}
	}

	private void onChallenge(Frame.Challenge first) throws FrameException {
		checkProtocol(first.protocol());
		this.challenge = first;
		String proofText = this.proof.compute(DIALER, first.nonce(), this.nonce, requireName(first.node()),
				requireName(this.self.node()), this.self.role().toString());
		this.link.send(new Frame.Hello(PROTOCOL_VERSION, this.self.node(), this.self.role(), this.nonce, proofText,
				this.link.nowMillis()));
	}

	private void onHello(Frame.Hello hello) throws FrameException {
		checkProtocol(hello.protocol());
		if (!this.proof.matches(hello.proof(), DIALER, this.nonce, hello.nonce(), requireName(this.self.node()),
				requireName(hello.node()), String.valueOf(hello.role()))) {
			throw new FrameException("the peer does not know the key");
		}
		this.link.updateClockOffset(this.challengeSentMillis, hello.clock());
		this.link.send(new Frame.Welcome(this.proof.compute(ACCEPTOR, hello.nonce(), this.nonce)));
		establish(hello.node(), hello.role());
	}

	private void onWelcome(Frame.Welcome welcome) throws FrameException {
		if (!this.proof.matches(welcome.proof(), ACCEPTOR, this.nonce, this.challenge.nonce())) {
			throw new FrameException("the peer does not know the key");
		}
		establish(this.challenge.node(), this.challenge.role());
	}

	private void establish(NodeId node, Role role) {
		this.link.onEstablished(node, role);
	}

	private static void checkProtocol(int protocol) throws FrameException {
		if (protocol != PROTOCOL_VERSION) {
			throw new FrameException("the peer speaks protocol " + protocol + ", not " + PROTOCOL_VERSION);
		}
	}

	private static String requireName(NodeId node) throws FrameException {
		if (node == null) {
			throw new FrameException("the peer does not say who it is");
		}
		return node.value();
	}

}
