package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PrefixCacheModelTests {

	private static final String MODEL = "small";

	private static final int CAPACITY = 1000;

	private static final int MAX_PARTS = 100;

	private final PrefixCacheModel cache = new PrefixCacheModel();

	private final PrefixCaches caches = new PrefixCaches(MAX_PARTS);

	private List<PromptPart> parts(String name, int count, int tokens) {
		List<PromptPart> parts = new ArrayList<>();
		for (int part = 0; part < count; part++) {
			parts.add(new PromptPart(name + part, tokens));
		}
		return parts;
	}

	private void read(List<PromptPart> parts) {
		this.caches.onPromptRead(this.cache, MODEL, parts, CAPACITY);
	}

	private long countCached(List<PromptPart> parts) {
		return parts.stream().filter((part) -> this.cache.contains(MODEL, part)).count();
	}

	@Nested
	class Evicts {

		@Test
		void leastRecentlyUsedPartsBeyondTheCapacity() {
			List<PromptPart> first = parts("a", 10, 100);
			read(first);
			assertThat(PrefixCacheModelTests.this.cache.cachedTokens(MODEL, first)).isEqualTo(CAPACITY);
			List<PromptPart> second = parts("b", 4, 100);
			read(second);
			assertThat(countCached(first)).isEqualTo(6);
			assertThat(PrefixCacheModelTests.this.cache.cachedTokens(MODEL, second)).isEqualTo(400);
		}

		/**
		 * Guards against parts that use memory without using capacity: their callers say
		 * how many tokens they have.
		 */
		@Test
		void partsBeyondTheLargestNumber() {
			List<PromptPart> first = parts("a", MAX_PARTS, 0);
			read(first);
			assertThat(countCached(first)).isEqualTo(MAX_PARTS);
			List<PromptPart> second = parts("b", 40, 0);
			read(second);
			assertThat(countCached(first)).isEqualTo(MAX_PARTS - 40);
			assertThat(countCached(second)).isEqualTo(40);
		}

		@Test
		void partsOfTheLeastRecentlyUsedReplica() {
			PrefixCacheModel other = new PrefixCacheModel();
			List<PromptPart> first = parts("a", 60, 0);
			read(first);
			PrefixCacheModelTests.this.caches.onPromptRead(other, MODEL, parts("b", 60, 0), CAPACITY);
			assertThat(countCached(first)).isEqualTo(40);
			assertThat(other.size()).isEqualTo(60);
		}

		@Test
		void nothingForReplicasThatHaveGone() {
			PrefixCacheModel gone = new PrefixCacheModel();
			PrefixCacheModelTests.this.caches.onPromptRead(gone, MODEL, parts("b", 60, 0), CAPACITY);
			PrefixCacheModelTests.this.caches.remove(gone);
			List<PromptPart> first = parts("a", MAX_PARTS, 0);
			read(first);
			assertThat(countCached(first)).isEqualTo(MAX_PARTS);
		}

	}

	@Nested
	class LongIds {

		private final String id = "i".repeat(10_000);

		/** Guards against ids of any length being kept after their requests. */
		@Test
		void areReplacedByShortOnes() {
			assertThat(new PromptPart(this.id, 1).id().length()).isLessThanOrEqualTo(PromptPart.MAX_ID_LENGTH);
		}

		@Test
		void staySameOrDifferent() {
			assertThat(new PromptPart(this.id, 1)).isEqualTo(new PromptPart(this.id, 1));
			assertThat(new PromptPart(this.id, 1)).isNotEqualTo(new PromptPart(this.id + "i", 1));
		}

	}

}
