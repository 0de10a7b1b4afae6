package org.gullsaddle.yaml;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A YAML text that cannot be accepted, with every problem found.
 */
public class YamlException extends Exception {

	private final transient List<Problem> problems;

	/**
	 * Makes an exception whose message lists the problems, one a line.
	 * @param problems at least one problem
	 */
	public YamlException(List<Problem> problems) {
		super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns the problems.
	 * @return at least one
	 */
	public List<Problem> problems() {
		return this.problems;
	}

}
