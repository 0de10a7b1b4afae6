package org.gullsaddle.base;

/**
 * Argument checks whose messages give the argument and what was expected.
 */
public final class Check {

	private Check() {
	}

	/**
	 * Checks that an argument is not null.
	 * @param <T> the type of the argument
	 * @param value the argument
	 * @param name its name in the message
	 * @return the argument
	 * @throws IllegalArgumentException if it is null
	 */
	public static <T> T notNull(T value, String name) {
		if (value == null) {
			throw new IllegalArgumentException(name + " must not be null");
		}
		return value;
	}

	/**
	 * Checks that a text argument is neither null nor empty.
	 * @param value the argument
	 * @param name its name in the message
	 * @return the argument
	 * @throws IllegalArgumentException if it is null or empty
	 */
	public static String notEmpty(String value, String name) {
		that(!notNull(value, name).isEmpty(), name + " must not be empty");
		return value;
	}

	/**
	 * Checks that a condition on an argument holds.
	 * @param condition the condition
	 * @param message the message if it does not hold
	 * @throws IllegalArgumentException if the condition is false
	 */
	public static void that(boolean condition, String message) {
		if (!condition) {
			throw new IllegalArgumentException(message);
		}
	}

	static void checkId(String value, String name, int maxLength) {
		notEmpty(value, name);
		that(value.length() <= maxLength, name + " must have at most " + maxLength + " characters");
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			that(c > ' ' && c < 127 && c != '"' && c != '\\',
					name + " must be printable ASCII without spaces, quotes or backslashes");
		}
	}

}
