/**
 * Allowances: how much of a team's rate, concurrency and money each entry may use.
 * {@link org.gullsaddle.allowance.GrantKeeper} shares them among the entries through the
 * platform's store; {@link org.gullsaddle.allowance.AllowanceBook} holds requests to the
 * part that this entry was granted.
 */
package org.gullsaddle.allowance;
