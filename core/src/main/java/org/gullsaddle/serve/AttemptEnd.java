package org.gullsaddle.serve;

/**
 * How one attempt at a replica ended.
 */
public sealed interface AttemptEnd {

	/**
	 * Returns the label of this end in metrics.
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
	 * Returns the reason why a request ends with this attempt.
	 * @return a short text
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
	 * The replica did not run the request and will not.
	 *
	 * @param unreachable whether there was no connection, so that nothing was sent
	 * @param reason a short reason
	 */
	record NotRun(boolean unreachable, String reason) implements AttemptEnd {
	}

	/**
	 * The replica sent a complete answer.
	 *
	 * @param status the HTTP status
	 */
	record Answered(int status) implements AttemptEnd {

		private static final int SERVER_ERROR = 500;

		/**
		 * Returns whether the replica failed.
		 * @return true for a status of 500 or more
		 */
		public boolean hasFailed() {
			return this.status >= SERVER_ERROR;
		}

	}

	/**
	 * The request may have run, wholly or in part, but no complete answer arrived.
	 *
	 * @param reason a short reason
	 */
	record Broken(String reason) implements AttemptEnd {
	}

	/**
	 * The caller left, or the deadline passed.
	 *
	 * @param reason which of them
	 */
	record Withdrawn(String reason) implements AttemptEnd {
	}

	/**
	 * The answer was dropped for a larger model's.
	 *
	 * @param confidence the model's own rating of the answer, 0 to 100
	 */
	record Dropped(int confidence) implements AttemptEnd {
	}

}
