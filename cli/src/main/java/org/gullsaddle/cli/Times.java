package org.gullsaddle.cli;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Locale;

/**
 * Reads times as people write them.
 */
final class Times {

	private Times() {
	}

	/**
	 * Returns milliseconds since the epoch for {@code now}, a time ago such as
	 * {@code 24h} or {@code 7d}, or a moment such as {@code 2026-01-31T06:00:00Z}.
	 */
	static long millis(String text) throws CommandException {
		try {
			if (text.equals("now")) {
				return Instant.now().toEpochMilli();
			}
			if (text.matches("\\d+[smhd]")) {
				String upper = text.toUpperCase(Locale.ROOT);
				Duration ago = Duration.parse(upper.endsWith("D") ? "P" + upper : "PT" + upper);
				return Instant.now().minus(ago).toEpochMilli();
			}
			return Instant.parse(text).toEpochMilli();
		}
		catch (DateTimeParseException ex) {
			throw new CommandException(ExitCode.WRONG_USE,
					"'" + text + "' is not a time; write 2026-01-31T06:00:00Z, 24h or now");
		}
	}

}
