/**
 * The daemon: puts a node together from its settings, starts it, and stops it gracefully.
 */
package org.gullsaddle.daemon;
