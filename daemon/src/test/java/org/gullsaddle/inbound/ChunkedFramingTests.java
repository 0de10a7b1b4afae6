package org.gullsaddle.inbound;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ChunkedFramingTests {

	private static final int LIMIT_BYTES = 64;

	private final ChunkedFraming framing = new ChunkedFraming(UnpooledByteBufAllocator.DEFAULT, LIMIT_BYTES);

	/**
	 * Returns what the decoder gets of a body that is received in pieces.
	 */
	private String take(String body, Random random) throws MalformedBodyException {
		ByteBuf all = Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1);
		StringBuilder taken = new StringBuilder();
		while (all.isReadable() && !this.framing.hasEnded()) {
			ByteBuf piece = all.readSlice(1 + random.nextInt(all.readableBytes()));
			while (piece.isReadable() && !this.framing.hasEnded()) {
				ByteBuf part = this.framing.take(piece);
				taken.append(part.toString(StandardCharsets.ISO_8859_1));
				part.release();
			}
			all.readerIndex(all.readerIndex() - piece.readableBytes());
		}
		taken.append('|').append(all.toString(StandardCharsets.ISO_8859_1));
		return taken.toString();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void bodyIsTakenToItsEndHoweverItIsCut(int seed) throws MalformedBodyException {
		assertThat(take("3\r\nabc\r\nA\r\n0123\r\n6789\r\n0\r\n\r\nGET", new Random(seed)))
			.isEqualTo("3\r\nabc\r\na\r\n0123\r\n6789\r\n0\r\n\r\n|GET");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4 })
	void extensionsAndTrailersAreLeftOut(int seed) throws MalformedBodyException {
		assertThat(take("1;a=b\r\nx\r\n0 ;c\r\nd: e\r\nf: g\r\n\r\n", new Random(seed)))
			.isEqualTo("1\r\nx\r\n0\r\n\r\n|");
	}

	@Test
	void manyChunksAreTakenInParts() throws MalformedBodyException {
		ByteBuf in = Unpooled.copiedBuffer("1\r\nx\r\n".repeat(1000), StandardCharsets.ISO_8859_1);
		this.framing.take(in).release();
		assertThat(in.isReadable()).isTrue();
	}

	/** Guards against a request that is smuggled in a body. */
	@ParameterizedTest
	@ValueSource(strings = { "x\r\n", "\r\n", "-1\r\n", "+1\r\nx\r\n", "0x1\r\nx\r\n", "1\r\nxy\r\n", "1\r\nx\r\r\n",
			"100000000\r\n", "ffffffff\r\n", "1\0\r\nx\r\n", "1,1\r\n" })
	void malformedBodyIsNotGuessedAt(String body) {
		assertThatExceptionOfType(MalformedBodyException.class).isThrownBy(() -> take(body, new Random(1)));
	}

	/** Guards against bytes without end that are no part of the body. */
	@ParameterizedTest
	@ValueSource(strings = { "1;", "0\r\n", "0\r\na: " })
	void extensionsAndTrailersAreLimited(String start) {
		assertThatExceptionOfType(MalformedBodyException.class)
			.isThrownBy(() -> take(start + "b".repeat(2 * LIMIT_BYTES), new Random(1)));
	}

}
