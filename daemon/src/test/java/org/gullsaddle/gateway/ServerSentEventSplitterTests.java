package org.gullsaddle.gateway;

import java.util.List;

import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Events in pieces of every size.
 */
class ServerSentEventSplitterTests {

	private static final List<String> EVENTS = List.of("id: 1\ndata: one\n\n", "id: 2\r\ndata: two\r\n\r\n", "\n\n",
			"id: 3\ndata: three\n\n");

	private final ServerSentEventSplitter splitter = new ServerSentEventSplitter();

	/**
	 * Guards against an event whose end is missed because it arrives in two pieces, of
	 * which the first was searched before.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 5, 7, 1000 })
	void endOfEachEventIsFoundWhereverItIsSplit(int size) {
		String all = String.join("", EVENTS);
		StringBuilder complete = new StringBuilder();
		for (int at = 0; at < all.length(); at += size) {
			String read = all.substring(0, Math.min(all.length(), at + size));
			complete.append(this.splitter.add(Buffer.buffer(read.substring(at))));
			assertThat(complete.length() + this.splitter.incompleteBytes()).isEqualTo(read.length());
			assertThat(read).startsWith(complete);
			assertThat(read.substring(complete.length())).doesNotContain("\n\n", "\n\r\n");
		}
		assertThat(complete.toString()).isEqualTo(all);
		assertThat(this.splitter.isAtEventEnd()).isTrue();
		assertThat(this.splitter.lastEventId()).contains("3");
	}

}
