package org.gullsaddle.base;

/**
 * An IP address and a port, written {@code 10.0.0.1:7100}.
 *
 * @param host the IP address
 * @param port the port, 0 to listen on any free port
 */
public record Address(String host, int port) {

	private static final int MAX_PORT = 65_535;

	public Address {
		Check.that(!host.isEmpty(), "an address needs an IP number");
		Check.that(port >= 0 && port <= MAX_PORT, "a port must be between 0 and 65535");
	}

	/**
	 * Parses {@code host:port}.
	 * @param text the text form
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static Address of(String text) {
		int colon = text.lastIndexOf(':');
		Check.that(colon > 0 && text.substring(colon + 1).matches("\\d{1,5}"),
				"must be an IP number and a port such as 10.0.0.1:7100, not '" + text + "'");
		return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
