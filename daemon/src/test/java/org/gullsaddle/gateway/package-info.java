/**
 * Tests of the gateway's parts.
 */
package org.gullsaddle.gateway;
