/** Tests of the deployment's configuration and replicas. */
package org.gullsaddle.fleet;
