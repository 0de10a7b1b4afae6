package org.gullsaddle.standin;

/**
 * Templates of the tests' clusters.
 */
final class Fixtures {

	static final String ASSISTANT = """
			template: assistant
			kind: chat
			versions:
			  - {version: small@v1, quality: 0.9, price: {output: 1}}
			  - {version: large@v1, quality: 0.97, price: {output: 10}}
			teams:
			  gold: {versions: [large@v1], qualityTarget: 0.8, requestsPerSecond: 1000, concurrent: 200, dollarsPerDay: 100, deadline: 20s}
			  basic: {versions: [small@v1], requestsPerSecond: 1000, concurrent: 200, dollarsPerDay: 100, deadline: 20s}
			""";

	static final String BOOKINGS = """
			template: bookings
			kind: service
			versions:
			  - {version: scheduling@v1, price: {call: 0.001}}
			teams:
			  gold: {requestsPerSecond: 1000, concurrent: 200, dollarsPerDay: 10, deadline: 5s}
			""";

	private Fixtures() {
	}

}
