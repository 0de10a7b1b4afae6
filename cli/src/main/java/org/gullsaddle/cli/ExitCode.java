package org.gullsaddle.cli;

/**
 * What the tool's exit code says.
 */
enum ExitCode {

	DONE(0), FAILED(1), WRONG_USE(2), INVALID(3), CONFLICT(4), NOT_FOUND(5), UNKNOWN_OUTCOME(6), NOT_ALLOWED(7);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	int code() {
		return this.code;
	}

}
