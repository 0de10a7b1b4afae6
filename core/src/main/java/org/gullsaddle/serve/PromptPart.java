package org.gullsaddle.serve;

/**
 * A part of a prompt that other requests may share.
 *
 * @param id identifies its text
 * @param tokens how many tokens it has
 */
public record PromptPart(String id, int tokens) {
}
