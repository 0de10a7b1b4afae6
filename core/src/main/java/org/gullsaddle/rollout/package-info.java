/**
 * Watches versions while they serve, and stops giving new work to one that turns bad.
 */
package org.gullsaddle.rollout;
