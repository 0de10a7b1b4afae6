/**
 * Requests that were running when a backend server crashed, as entries and agents
 * remember them.
 */
package org.gullsaddle.suspect;
