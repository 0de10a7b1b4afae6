package org.gullsaddle.inbound;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeadScannerTests {

	private static final String HEAD = "GET / HTTP/1.1\r\nHost: x\r\na:\r\n\r\n";

	private final HeadScanner scanner = new HeadScanner();

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
	}

	@Test
	void findsTheEndOfAHeadWhateverFollows() {
		assertThat(this.scanner.scan(bytes(HEAD + "GET"))).isEqualTo(HEAD.length());
	}

	@Test
	void findsTheEndOfAHeadThatComesByteByByte() {
		for (int length = 1; length < HEAD.length(); length++) {
			assertThat(this.scanner.scan(bytes(HEAD.substring(0, length)))).isEqualTo(-1);
		}
		assertThat(this.scanner.scan(bytes(HEAD))).isEqualTo(HEAD.length());
	}

	@Test
	void findsTheEndOfAHeadWithoutCarriageReturns() {
		String head = HEAD.replace("\r", "");
		assertThat(this.scanner.scan(bytes(head))).isEqualTo(head.length());
	}

	@Test
	void lineOfCarriageReturnAndOthersDoesNotEndAHead() {
		assertThat(this.scanner.scan(bytes("GET / HTTP/1.1\r\n\rx\n"))).isEqualTo(-1);
	}

	@Test
	void skipsBlanksOnly() {
		ByteBuf in = bytes("\r\n\0 \tGET");
		HeadScanner.skipBlanks(in);
		assertThat(in.toString(StandardCharsets.ISO_8859_1)).isEqualTo("GET");
	}

	@Test
	void firstLineAndHeaderLinesAreLimitedEachByItself() {
		this.scanner.scan(bytes(HEAD));
		assertThat(this.scanner.exceeds(16)).isFalse();
		assertThat(this.scanner.exceeds(15)).isTrue();
		HeadScanner unfinished = new HeadScanner();
		unfinished.scan(bytes("GET /aaaaaaaaaaaaaaaa"));
		assertThat(unfinished.exceeds(16)).isTrue();
	}

	/** Guards against heads that are counted by their bytes though lines cost more. */
	@Test
	void headOfManyLinesCostsMoreThanALongOne() {
		this.scanner.scan(bytes("GET / HTTP/1.1\r\n" + "a:\r\n".repeat(1000)));
		HeadScanner longLine = new HeadScanner();
		longLine.scan(bytes("GET / HTTP/1.1\r\n" + "a".repeat(4000)));
		assertThat(this.scanner.cost()).isGreaterThan(20 * longLine.cost());
	}

}
