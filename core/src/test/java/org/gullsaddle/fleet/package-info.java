/** Tests of what is known of the deployment. */
package org.gullsaddle.fleet;
