/**
 * Tests of what stands beside a backend server.
 */
package org.gullsaddle.backend;
