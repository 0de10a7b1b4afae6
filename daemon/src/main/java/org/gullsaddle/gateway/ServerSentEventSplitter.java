package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Splits a byte stream of server-sent events into complete events.
 * <p>
 * A replica may crash in the middle of an event. If the partial event were relayed, the
 * caller would join it with what the next replica sends. So only complete events are
 * returned; a partial one is discarded, and the next replica sends it again.
 */
final class ServerSentEventSplitter {

	private static final String ID_FIELD = "id:";

	private Buffer incomplete = Buffer.buffer();

	/** Up to where the partial event is known to contain no end. */
	private int searched;

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Adds bytes.
	 * @return the events that are now complete, possibly none
	 */
	Buffer add(Buffer bytes) {
		this.incomplete.appendBuffer(bytes);
		int end = 0;
		int next = findEventEnd(this.searched);
		while (next > 0) {
			parseLastEventId(this.incomplete.getString(end, next, "UTF-8"));
			end = next;
			next = findEventEnd(end);
		}
		// The last two bytes may be the beginning of an end of three bytes.
		this.searched = Math.max(0, this.incomplete.length() - end - 2);
		if (end == 0) {
			return Buffer.buffer();
		}
		Buffer complete = this.incomplete.getBuffer(0, end);
		this.incomplete = this.incomplete.getBuffer(end, this.incomplete.length());
		return complete;
	}

	/**
	 * Discards a partial event, after the replica's answer broke off.
	 */
	void discardIncomplete() {
		this.incomplete = Buffer.buffer();
		this.searched = 0;
	}

	/**
	 * Returns whether there is no partial event.
	 */
	boolean isAtEventEnd() {
		return this.incomplete.length() == 0;
	}

	/**
	 * Returns the size of the partial event, in bytes.
	 */
	int incompleteBytes() {
		return this.incomplete.length();
	}

	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns the end index of the event that starts at an index, or -1 if it is
	 * incomplete.
	 */
	private int findEventEnd(int from) {
		int length = this.incomplete.length();
		for (int i = from; i + 1 < length; i++) {
			if (this.incomplete.getByte(i) != '\n') {
				continue;
			}
			if (this.incomplete.getByte(i + 1) == '\n') {
				return i + 2;
			}
			if (i + 2 < length && this.incomplete.getByte(i + 1) == '\r' && this.incomplete.getByte(i + 2) == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	private void parseLastEventId(String event) {
		event.lines()
			.filter((line) -> line.startsWith(ID_FIELD))
			.map((line) -> line.substring(ID_FIELD.length()).strip())
			.filter((id) -> !id.isEmpty())
			.forEach((id) -> this.lastEventId = Optional.of(id));
	}

}
