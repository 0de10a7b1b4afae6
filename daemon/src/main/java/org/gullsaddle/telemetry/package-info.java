/**
 * What a node shows of itself: metrics with histograms per team and template, and the
 * clock that its records are stamped by.
 */
package org.gullsaddle.telemetry;
