/**
 * Tests of connections from clients that are not trusted.
 */
package org.gullsaddle.inbound;
