/**
 * Reads YAML written by people, and names the line, the place and the reason of every
 * problem in it. Used for templates and for settings.
 */
package org.gullsaddle.yaml;
