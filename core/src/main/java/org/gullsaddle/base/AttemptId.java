package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One attempt to run a request on one backend server, written {@code request/number}.
 *
 * @param request the request
 * @param number counts the request's attempts from 1
 */
public record AttemptId(RequestId request, int number) {

	public AttemptId {
		Check.notNull(request, "request");
		Check.that(number > 0, "attempt number must be positive");
	}

	/**
	 * Parses {@code request/number}.
	 * @param text the text form
	 * @return the attempt id
	 * @throws IllegalArgumentException if the text has another form
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public static AttemptId of(String text) {
		Check.notNull(text, "attempt id");
		int slash = text.lastIndexOf('/');
		Check.that(slash > 0, "attempt id must have the form request/number");
		return new AttemptId(new RequestId(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
	}

	@JsonValue
	@Override
	public String toString() {
		return this.request + "/" + this.number;
	}

}
