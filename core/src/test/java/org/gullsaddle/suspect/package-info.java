/** Tests for finding and blocking requests that crash replicas. */
package org.gullsaddle.suspect;
