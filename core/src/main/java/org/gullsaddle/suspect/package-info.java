/**
 * Finds the requests that crash replicas and blocks them: crash evidence, suspect
 * contents and blocked traits.
 */
package org.gullsaddle.suspect;
