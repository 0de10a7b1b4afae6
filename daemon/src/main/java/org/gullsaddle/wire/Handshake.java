package org.gullsaddle.wire;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.settings.Role;

/**
 * The start of a link: each side proves to the other that it knows the shared key.
 */
final class Handshake {

	/** The version of the protocol that this program speaks. */
	private static final int PROTOCOL = 1;

	private static final String DIALER = "dialer";

	private static final String ACCEPTOR = "acceptor";

	private final PeerIdentity self;

	private final PeerLink link;

	private final boolean accepted;

	private final Proof proof;

	private final String nonce = Proof.nonce();

	private long challengedAt;

	private Frame.Challenge challenge;

	Handshake(PeerIdentity self, PeerLink link, boolean accepted) {
		this.self = self;
		this.link = link;
		this.accepted = accepted;
		this.proof = new Proof(self.key());
	}

	void begin() {
		if (this.accepted) {
			this.challengedAt = this.link.now();
			this.link.send(new Frame.Challenge(PROTOCOL, this.self.node(), this.self.role(), this.nonce));
		}
	}

	void receive(Frame frame) throws FrameException {
		if (this.accepted && frame instanceof Frame.Hello hello) {
			hello(hello);
		}
		else if (!this.accepted && this.challenge == null && frame instanceof Frame.Challenge first) {
			challenged(first);
		}
		else if (!this.accepted && this.challenge != null && frame instanceof Frame.Welcome welcome) {
			welcomed(welcome);
		}
		else {
			throw new FrameException("a " + frame.getClass().getSimpleName() + " before the handshake is over");
		}
	}

	private void challenged(Frame.Challenge first) throws FrameException {
		checkProtocol(first.protocol());
		this.challenge = first;
		String mine = this.proof.of(DIALER, first.nonce(), this.nonce, text(first.node()), text(this.self.node()),
				this.self.role().toString());
		this.link
			.send(new Frame.Hello(PROTOCOL, this.self.node(), this.self.role(), this.nonce, mine, this.link.now()));
	}

	private void hello(Frame.Hello hello) throws FrameException {
		checkProtocol(hello.protocol());
		if (!this.proof.matches(hello.proof(), DIALER, this.nonce, hello.nonce(), text(this.self.node()),
				text(hello.node()), String.valueOf(hello.role()))) {
			throw new FrameException("the peer does not know the key");
		}
		this.link.learnClock(this.challengedAt, hello.clock());
		this.link.send(new Frame.Welcome(this.proof.of(ACCEPTOR, hello.nonce(), this.nonce)));
		established(hello.node(), hello.role());
	}

	private void welcomed(Frame.Welcome welcome) throws FrameException {
		if (!this.proof.matches(welcome.proof(), ACCEPTOR, this.nonce, this.challenge.nonce())) {
			throw new FrameException("the peer does not know the key");
		}
		established(this.challenge.node(), this.challenge.role());
	}

	private void established(NodeId node, Role role) {
		this.link.established(node, role);
	}

	private static void checkProtocol(int protocol) throws FrameException {
		if (protocol != PROTOCOL) {
			throw new FrameException("the peer speaks protocol " + protocol + ", not " + PROTOCOL);
		}
	}

	private static String text(NodeId node) throws FrameException {
		if (node == null) {
			throw new FrameException("the peer does not say who it is");
		}
		return node.value();
	}

}
