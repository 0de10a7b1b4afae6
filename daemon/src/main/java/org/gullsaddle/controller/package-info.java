/**
 * Controllers: each keeps one kind of state in step with the platform's store or its
 * lists, for as long as the node runs.
 */
package org.gullsaddle.controller;
