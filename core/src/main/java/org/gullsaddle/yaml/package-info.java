/**
 * Parses YAML written by hand and reports the line, path and reason of every problem in
 * it. Used for templates and settings.
 */
package org.gullsaddle.yaml;
