package org.gullsaddle.outbound;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class AnswerHandlerTests {

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String NEXT = "HTTP/1.1 500 Failed\r\n\r\n";

	private final RequestProgress request = new RequestProgress();

	private final EmbeddedChannel channel = new EmbeddedChannel(
			new AnswerHandler(this.request, AnswerValidator.UNLIMITED), this.request);

	private void send(HttpMethod method) {
		this.channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
		this.channel.releaseOutbound();
	}

	/**
	 * Returns what the decoder gets of bytes that are received in pieces.
	 */
	private String decoded(String bytes, int pieceBytes) {
		ByteBuf all = Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1);
		StringBuilder decoded = new StringBuilder();
		while (all.isReadable()) {
			this.channel.writeInbound(all.readRetainedSlice(Math.min(pieceBytes, all.readableBytes())));
			ByteBuf part = this.channel.readInbound();
			while (part != null) {
				decoded.append(part.toString(StandardCharsets.ISO_8859_1));
				part.release();
				part = this.channel.readInbound();
			}
		}
		all.release();
		return decoded.toString();
	}

	/** Guards against bytes after an answer that the decoder takes for another one. */
	@ParameterizedTest
	@ValueSource(strings = { OK + "Content-Length: 4\r\n\r\ndone", OK + "Content-Length: 0\r\n\r\n",
			"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
			"HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 4\r\n\r\ndone",
			OK + "Transfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n2;a=b\r\nne\r\n0\r\nX-Sum: 1\r\n\r\n" })
	void answerIsPassedOnToItsEndHoweverItIsCut(String answer) {
		send(HttpMethod.GET);
		int pieceBytes = 1 + answer.length() % 3;
		assertThat(decoded(answer + NEXT, pieceBytes)).isEqualTo(answer);
		assertThat(this.channel.isOpen()).isTrue();
	}

	@Test
	void answerToAHeadRequestHasNoBody() {
		send(HttpMethod.HEAD);
		String answer = OK + "Content-Length: 4\r\n\r\n";
		assertThat(decoded(answer + NEXT, answer.length() + 1)).isEqualTo(answer);
	}

	@Test
	void bodyWithoutALengthGoesOn() {
		send(HttpMethod.GET);
		assertThat(decoded(OK + "\r\n" + NEXT, 5)).isEqualTo(OK + "\r\n" + NEXT);
	}

	/** Guards against a head of which the first lines are passed on. */
	@Test
	void nothingOfAnInvalidHeadIsPassedOn() {
		send(HttpMethod.GET);
		assertThatThrownBy(() -> decoded(OK + "X-Mark: 1\r\nX Mark: 1\r\nContent-Length: 0\r\n\r\n", 7))
			.isInstanceOf(InvalidAnswerException.class);
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(this.channel.inboundMessages()).isEmpty();
	}

	/** Guards against a line that fills the memory. */
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 200 ", OK + "X-Long: ", OK + "Transfer-Encoding: chunked\r\n\r\n1;",
			OK + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " })
	void lineWithoutEndIsRefused(String beginning) {
		send(HttpMethod.GET);
		assertThatThrownBy(() -> decoded(beginning + "a".repeat(100_000), 1000))
			.isInstanceOf(InvalidAnswerException.class);
		assertThat(this.channel.isOpen()).isFalse();
	}

	/** Guards against an answer without a length that counts as whole if it broke off. */
	@Test
	void connectionThatBreaksIsNoEnd() {
		send(HttpMethod.GET);
		decoded(OK + "\r\npart", 100);
		this.channel.close();
		assertThatThrownBy(this.channel::checkException).hasMessageContaining("without a length");
	}

}
