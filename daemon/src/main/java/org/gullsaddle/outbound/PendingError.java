package org.gullsaddle.outbound;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Detects a reset of a connection after its end of stream was read, when reading reports
 * nothing more.
 */
final class PendingError {

	private PendingError() {
	}

	/**
	 * Returns whether a socket has an error pending. A selector reports
	 * {@code OP_CONNECT} for a connected socket only then.
	 */
	static boolean isPresent(Channel channel) {
		if (!(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe)) {
			return false;
		}
		SelectableChannel socket = unsafe.ch();
		try (Selector selector = socket.provider().openSelector()) {
			SelectionKey key = socket.register(selector, SelectionKey.OP_CONNECT);
			selector.selectNow();
			return key.isConnectable();
		}
		catch (IOException ex) {
			// Without an answer the connection counts as broken.
			return true;
		}
	}

}
