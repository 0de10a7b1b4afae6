/**
 * Tests of the whole system against the stand-ins: contracts at its outer interfaces, and
 * faults of real processes.
 */
package org.gullsaddle.standin;
