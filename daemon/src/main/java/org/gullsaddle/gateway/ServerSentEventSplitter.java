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

	private Buffer rest = Buffer.buffer();

	private Optional<String> lastId = Optional.empty();

	/**
	 * Takes in bytes.
	 * @return the whole events among what has come, perhaps none
	 */
	Buffer add(Buffer bytes) {
		this.rest.appendBuffer(bytes);
		int end = 0;
		int next = eventEnd(0);
		while (next > 0) {
			read(this.rest.getString(end, next, "UTF-8"));
			end = next;
			next = eventEnd(end);
		}
		Buffer whole = this.rest.getBuffer(0, end);
		this.rest = this.rest.getBuffer(end, this.rest.length());
		return whole;
	}

	/**
	 * Forgets the half of an event that a broken run left.
	 */
	void dropRest() {
		this.rest = Buffer.buffer();
	}

	/**
	 * Says whether the stream ended between events.
	 */
	boolean atEventEnd() {
		return this.rest.length() == 0;
	}

	/**
	 * Returns how much came of an event whose end has not come, in bytes.
	 */
	int heldBack() {
		return this.rest.length();
	}

	Optional<String> lastId() {
		return this.lastId;
	}

	/**
	 * Returns where the event that begins at a place ends, or -1 if its end has not come.
	 */
	private int eventEnd(int from) {
		int length = this.rest.length();
		for (int i = from; i + 1 < length; i++) {
			if (this.rest.getByte(i) != '\n') {
				continue;
			}
			if (this.rest.getByte(i + 1) == '\n') {
				return i + 2;
			}
			if (i + 2 < length && this.rest.getByte(i + 1) == '\r' && this.rest.getByte(i + 2) == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	private void read(String event) {
		event.lines()
			.filter((line) -> line.startsWith(ID_FIELD))
			.map((line) -> line.substring(ID_FIELD.length()).strip())
			.filter((id) -> !id.isEmpty())
			.forEach((id) -> this.lastId = Optional.of(id));
	}

}
