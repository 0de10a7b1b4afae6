/**
 * The entry: takes callers' requests through a chain of filters to the router's shards,
 * carries out what they decide, and serves operators.
 */
package org.gullsaddle.entry;
