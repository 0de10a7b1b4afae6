/**
 * Tests of the agent beside a backend server.
 */
package org.gullsaddle.backend;
