/**
 * The entry node: passes callers' requests through filters to the router's shards,
 * executes the router's actions, and serves the operators' API.
 */
package org.gullsaddle.entry;
