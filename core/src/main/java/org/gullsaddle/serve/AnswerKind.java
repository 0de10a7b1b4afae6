package org.gullsaddle.serve;

/**
 * The kind of an answer. Answers of one route and one model are alike in latency and
 * failures, so the releases are compared by kind.
 *
 * @param route the route's name
 * @param model the model that gave the answer, empty for a service without models
 */
public record AnswerKind(String route, String model) {
}
