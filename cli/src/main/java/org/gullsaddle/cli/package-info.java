/**
 * The operators' command-line tool. It changes templates and reads, through the admin
 * interface of any entry.
 */
package org.gullsaddle.cli;
