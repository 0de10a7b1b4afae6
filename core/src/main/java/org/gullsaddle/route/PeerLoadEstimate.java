package org.gullsaddle.route;

import org.gullsaddle.base.LoadReport;

/**
 * Estimates how much of a backend server's load comes from peers.
 * <p>
 * A report is old when it arrives, and nodes that rely on it alone all send to the same
 * idle backend server until the next report. A node knows its own outstanding requests
 * exactly, so only the load from peers is taken from reports. It is smoothed, as the
 * reported changes are out of date.
 */
final class PeerLoadEstimate {

	private static final double SMOOTHING_FACTOR = 0.2;

	private double requests;

	/**
	 * Handles a load report.
	 * @param report the reported load
	 * @param ownRequests how many requests this node has outstanding there
	 */
	void onLoadReport(LoadReport report, int ownRequests) {
		double peerRequests = report.running() + report.waiting() - ownRequests;
		this.requests += SMOOTHING_FACTOR * (peerRequests - this.requests);
	}

	/**
	 * Returns the estimated number of requests of peers.
	 * @return the number of requests, 0 or more
	 */
	double requests() {
		return Math.max(0, this.requests);
	}

}
