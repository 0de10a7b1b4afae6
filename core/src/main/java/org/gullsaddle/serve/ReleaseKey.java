package org.gullsaddle.serve;

/**
 * What a request keeps its release by.
 *
 * @param value the session, or what else tells requests apart
 * @param session whether requests before and after it may have the same key
 */
public record ReleaseKey(String value, boolean session) {
}
