/**
 * Controllers, each of which keeps one kind of state synchronized with the platform's
 * store or VM list while the node runs.
 */
package org.gullsaddle.controller;
