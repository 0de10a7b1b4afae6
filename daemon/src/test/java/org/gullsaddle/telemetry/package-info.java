/**
 * Tests of the metrics.
 */
package org.gullsaddle.telemetry;
