/**
 * The agent: what stands beside one backend server, and how it speaks to a model engine
 * or a plain service.
 */
package org.gullsaddle.backend;
