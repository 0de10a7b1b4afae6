package org.gullsaddle.serve;

/**
 * What an answer is compared by: answers of one route and one model are alike in their
 * pace and failures.
 *
 * @param route the route's name
 * @param model the model that gave it, empty for a plain service
 */
public record AnswerKind(String route, String model) {
}
