/**
 * Connections to servers that are not trusted: what an answer must look like before it is
 * decoded, and when one that ends with its connection is whole.
 */
package org.gullsaddle.outbound;
