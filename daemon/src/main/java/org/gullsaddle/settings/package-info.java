/**
 * A node's settings, read from YAML and checked as a whole before anything starts.
 */
package org.gullsaddle.settings;
