/**
 * What is known of the deployment: its configuration, and the replicas that backend
 * services run on. Nothing here does I/O; times are handed in, in milliseconds of a
 * steady clock.
 */
package org.gullsaddle.fleet;
