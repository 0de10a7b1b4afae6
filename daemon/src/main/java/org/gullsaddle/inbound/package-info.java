/**
 * Connections from clients that are not trusted: what each may send before it is decoded,
 * and the memory that all of them together may use.
 */
package org.gullsaddle.inbound;
