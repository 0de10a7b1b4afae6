package org.gullsaddle.route;

import org.gullsaddle.base.LoadReport;

/**
 * How much of a backend server's load comes from other nodes.
 * <p>
 * A report is old when it arrives, and every node that trusts it sends to the same idle
 * server until the next one comes. What a node has outstanding itself it knows exactly;
 * only the part of the others is taken from reports, and smoothed, as its moves are old
 * news.
 */
final class PeerLoadEstimate {

	private static final double SMOOTHING_FACTOR = 0.2;

	private double requests;

	/**
	 * Takes in a report.
	 * @param report what the server says
	 * @param own how many requests this node has there
	 */
	void onLoadReport(LoadReport report, int own) {
		double notOurs = report.running() + report.waiting() - own;
		this.requests += SMOOTHING_FACTOR * (notOurs - this.requests);
	}

	/**
	 * Returns how many requests of others are likely to be there.
	 * @return the number, 0 or more
	 */
	double requests() {
		return Math.max(0, this.requests);
	}

}
