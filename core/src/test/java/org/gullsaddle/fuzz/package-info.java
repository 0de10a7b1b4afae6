/**
 * Stateful fuzzing of the decision core: nodes wired by plain queues, a store that loses
 * answers, and an oracle that only knows what each guarantee permits.
 */
package org.gullsaddle.fuzz;
