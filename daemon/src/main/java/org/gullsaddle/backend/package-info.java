/**
 * The agent, a node beside one backend server, and its clients for model engines and
 * plain services.
 */
package org.gullsaddle.backend;
