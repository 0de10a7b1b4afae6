/**
 * Tests of the validation of answers.
 */
package org.gullsaddle.outbound;
