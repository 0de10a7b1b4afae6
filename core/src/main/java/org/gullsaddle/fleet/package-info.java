/**
 * The known state of the deployment: its configuration and the replicas of the services.
 * Nothing here does I/O; times are passed in, in milliseconds of a monotonic clock.
 */
package org.gullsaddle.fleet;
