package org.gullsaddle.yaml;

/**
 * A problem in a YAML text.
 *
 * @param line the line in the file, from 1, or 0 for the whole file
 * @param path the path of the value, such as {@code teams.office.rank}
 * @param reason what is wrong and what is allowed
 */
public record Problem(int line, String path, String reason) {

	@Override
	public String toString() {
		return ((this.line > 0) ? "line " + this.line + ": " : "") + this.path + ": " + this.reason;
	}

}
