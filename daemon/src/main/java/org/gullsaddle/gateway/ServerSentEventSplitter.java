package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;

/**
 * Cuts a stream of server-sent events into whole events.
 * <p>
 * A replica that crashes stops in the middle of an event. Passed on, the half would be
 * joined with what the next replica sends, and the caller would read garbage. So only
 * whole events leave; the rest of a torn one is dropped, and the next replica sends it
 * again.
 */
final class ServerSentEventSplitter {

	private static final String ID_FIELD = "id:";

	private Buffer incomplete = Buffer.buffer();

	private Optional<String> lastEventId = Optional.empty();

	/**
	 * Takes in bytes.
	 * @return the whole events among what has come, perhaps none
	 */
	Buffer add(Buffer bytes) {
		this.incomplete.appendBuffer(bytes);
		int end = 0;
		int next = findEventEnd(0);
		while (next > 0) {
			parseLastEventId(this.incomplete.getString(end, next, "UTF-8"));
			end = next;
			next = findEventEnd(end);
		}
		Buffer whole = this.incomplete.getBuffer(0, end);
		this.incomplete = this.incomplete.getBuffer(end, this.incomplete.length());
		return whole;
	}

	/**
	 * Forgets the half of an event that a broken run left.
	 */
	void discardIncomplete() {
		this.incomplete = Buffer.buffer();
	}

	/**
	 * Says whether the stream ended between events.
	 */
	boolean isAtEventEnd() {
		return this.incomplete.length() == 0;
	}

	/**
	 * Returns how much came of an event whose end has not come, in bytes.
	 */
	int incompleteBytes() {
		return this.incomplete.length();
	}

	Optional<String> lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns where the event that begins at a place ends, or -1 if its end has not come.
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
