package org.gullsaddle.fleet;

/**
 * A model that an engine can run.
 *
 * @param name its name
 * @param cost the price of 1,000 generated tokens
 */
public record ModelSize(String name, double cost) {
}
