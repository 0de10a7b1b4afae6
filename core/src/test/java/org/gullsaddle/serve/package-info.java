/** Tests of the decisions for one request and of roll-outs. */
package org.gullsaddle.serve;
