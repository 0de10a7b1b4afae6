/** Tests of what is found out about requests that crash replicas. */
package org.gullsaddle.suspect;
