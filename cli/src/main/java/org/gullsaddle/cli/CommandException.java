package org.gullsaddle.cli;

/**
 * A command that cannot do what was asked.
 */
class CommandException extends Exception {

	private final ExitCode code;

	CommandException(ExitCode code, String message) {
		super(message);
		this.code = code;
	}

	ExitCode code() {
		return this.code;
	}

}
