package org.gullsaddle.serve;

import com.dynatrace.hash4j.hashing.Hashing;

import org.gullsaddle.base.Check;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies its text; a long one is replaced by its hash, as ids are kept
 * longer than their requests
 * @param tokens how many tokens it has, not negative
 */
public record PromptPart(String id, int tokens) {

	/** Length of the longest id that is kept, in characters. */
	static final int MAX_ID_LENGTH = 64;

	public PromptPart {
		Check.that(tokens >= 0, "tokens must not be negative");
		if (id.length() > MAX_ID_LENGTH) {
			id = Hashing.murmur3_128().hashCharsTo128Bits(id).toString();
		}
	}
}
