package org.gullsaddle.serve;

/**
 * How one attempt at a replica ended.
 */
public sealed interface AttemptEnd {

	/**
	 * Names the end in a word, for counting.
	 * @return {@code answered}, {@code failed}, {@code not-run}, {@code broken},
	 * {@code withdrawn} or {@code dropped}
	 */
	default String metricLabel() {
		return switch (this) {
			case NotRun notRun -> "not-run";
			case Answered answered -> answered.hasFailed() ? "failed" : "answered";
			case Broken broken -> "broken";
			case Withdrawn withdrawn -> "withdrawn";
			case Dropped dropped -> "dropped";
		};
	}

	/**
	 * Says why a request ends with it.
	 * @return some words
	 */
	default String endReason() {
		return switch (this) {
			case NotRun notRun -> notRun.reason();
			case Answered answered -> "answered";
			case Broken broken -> broken.reason();
			case Withdrawn withdrawn -> withdrawn.reason();
			case Dropped dropped -> "dropped";
		};
	}

	/**
	 * The replica did not run it, and will not.
	 *
	 * @param unreachable whether no connection could be had, so that nothing was sent
	 * @param reason why, in a word
	 */
	record NotRun(boolean unreachable, String reason) implements AttemptEnd {
	}

	/**
	 * The replica gave its whole answer.
	 *
	 * @param status the HTTP status
	 */
	record Answered(int status) implements AttemptEnd {

		private static final int SERVER_ERROR = 500;

		/**
		 * Says whether the replica failed.
		 * @return true for a status of 500 or more
		 */
		public boolean hasFailed() {
			return this.status >= SERVER_ERROR;
		}

	}

	/**
	 * It may have run, wholly or in part, but no whole answer came.
	 *
	 * @param reason what went wrong, in a word
	 */
	record Broken(String reason) implements AttemptEnd {
	}

	/**
	 * The caller left, or its time was over.
	 *
	 * @param reason which of them, in a word
	 */
	record Withdrawn(String reason) implements AttemptEnd {
	}

	/**
	 * Its answer was dropped for a larger model's.
	 *
	 * @param confidence the model's own opinion of the answer, 0 to 100
	 */
	record Dropped(int confidence) implements AttemptEnd {
	}

}
