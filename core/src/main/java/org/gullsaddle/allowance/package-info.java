/**
 * Allowances: how much of a team's rate, concurrency and daily budget each entry may use.
 * {@link org.gullsaddle.allowance.GrantCoordinator} divides them among the entries
 * through the platform's store; {@link org.gullsaddle.allowance.AllowanceTable} limits
 * requests to the share that this entry was granted.
 */
package org.gullsaddle.allowance;
