package org.gullsaddle.yaml;

/**
 * One thing wrong with a YAML text.
 *
 * @param line the line in the file, from 1, or 0 if it concerns the whole
 * @param path the place, such as {@code teams.office.rank}
 * @param reason what is wrong and what is allowed
 */
public record Problem(int line, String path, String reason) {

	@Override
	public String toString() {
		return ((this.line > 0) ? "line " + this.line + ": " : "") + this.path + ": " + this.reason;
	}

}
