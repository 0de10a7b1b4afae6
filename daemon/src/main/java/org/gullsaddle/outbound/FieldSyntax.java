package org.gullsaddle.outbound;

/**
 * Characters of header fields (RFC 9110, 5.5 and 5.6.2).
 */
final class FieldSyntax {

	private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

	private static final int DELETE = 0x7F;

	private static final boolean[] TOKEN = new boolean[DELETE];

	static {
		for (char each = 0; each < DELETE; each++) {
			boolean alphanumeric = (each >= '0' && each <= '9') || (each >= 'A' && each <= 'Z')
					|| (each >= 'a' && each <= 'z');
			TOKEN[each] = alphanumeric || TOKEN_MARKS.indexOf(each) >= 0;
		}
	}

	private FieldSyntax() {
	}

	/**
	 * Returns whether a byte may be part of a field's name.
	 */
	static boolean isToken(byte each) {
		return each >= 0 && each < DELETE && TOKEN[each];
	}

	/**
	 * Returns whether a byte may be part of a field's value or of a reason phrase. Bytes
	 * above 127 may.
	 */
	static boolean isText(byte each) {
		return each < 0 || (each >= ' ' && each != DELETE) || each == '\t';
	}

	static boolean isBlank(byte each) {
		return each == ' ' || each == '\t';
	}

	static boolean isDigit(byte each) {
		return each >= '0' && each <= '9';
	}

}
