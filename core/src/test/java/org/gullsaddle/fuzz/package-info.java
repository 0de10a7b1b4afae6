/**
 * Stateful fuzzing of the decision core: nodes connected by queues, a store that loses
 * answers, and an oracle that knows only what each guarantee permits.
 */
package org.gullsaddle.fuzz;
