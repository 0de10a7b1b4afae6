package org.gullsaddle.gateway;

import io.vertx.core.MultiMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptTests {

	/** Guards against taking a truncated answer for a complete one. */
	@ParameterizedTest
	@CsvSource(delimiter = ';', value = { "chunked; true", "Chunked; true", "gzip, chunked; true", "identity; false",
			"gzip; false", "chunked, gzip; false" })
	void answerIsFramedIfItsLastTransferCodingIsChunked(String codings, boolean framed) {
		MultiMap headers = MultiMap.caseInsensitiveMultiMap().add("Transfer-Encoding", codings);
		assertThat(Attempt.isFramed(headers)).isEqualTo(framed);
		assertThat(Attempt.isFramed(headers.add("Content-Length", "12"))).isEqualTo(framed);
	}

	@Test
	void codingsInSeveralFieldsAreReadInTheirOrder() {
		MultiMap headers = MultiMap.caseInsensitiveMultiMap()
			.add("Transfer-Encoding", "chunked")
			.add("Transfer-Encoding", "gzip");
		assertThat(Attempt.isFramed(headers)).isFalse();
	}

	@Test
	void answerWithoutACodingIsFramedByItsLength() {
		assertThat(Attempt.isFramed(MultiMap.caseInsensitiveMultiMap())).isFalse();
		assertThat(Attempt.isFramed(MultiMap.caseInsensitiveMultiMap().add("Content-Length", "0"))).isTrue();
	}

}
