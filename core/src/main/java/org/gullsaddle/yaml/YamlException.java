package org.gullsaddle.yaml;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown for an invalid YAML text, with every problem found in it.
 */
public class YamlException extends Exception {

	private final transient List<Problem> problems;

	/**
	 * Creates an exception whose message lists the problems, one per line.
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
