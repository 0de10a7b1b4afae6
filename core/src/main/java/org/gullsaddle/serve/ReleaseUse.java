package org.gullsaddle.serve;

import org.gullsaddle.base.LoadReport;

/**
 * What a node has sent to a service since a roll-out was ordered, and under which loads
 * its replicas said that they ran it. Confined to one thread.
 */
final class ReleaseUse {

	private static final double SMOOTHING = 0.1;

	private int sent;

	private int sentToTarget;

	private double triedLoad;

	private double formerLoad;

	/**
	 * Notes that a request was sent.
	 * @param toTarget whether it went to the new release
	 */
	void sent(boolean toTarget) {
		this.sent++;
		this.sentToTarget += toTarget ? 1 : 0;
	}

	/**
	 * Takes in what a replica told of its load.
	 * @param ofTarget whether it is of the new release
	 */
	void told(boolean ofTarget, LoadReport load) {
		double part = part(load);
		if (ofTarget) {
			this.triedLoad = Math.max(this.triedLoad, part);
		}
		else {
			this.formerLoad += SMOOTHING * (part - this.formerLoad);
		}
	}

	/**
	 * Returns which part of a replica's slots is in use.
	 */
	static double part(LoadReport load) {
		return (double) load.running() / load.slots();
	}

	/**
	 * Returns the requests that were sent to any release, repeated ones too.
	 */
	int sent() {
		return this.sent;
	}

	int sentToTarget() {
		return this.sentToTarget;
	}

	/**
	 * Returns the most that ran at once at a replica of the new release, as a part of its
	 * slots.
	 */
	double triedLoad() {
		return this.triedLoad;
	}

	/**
	 * Returns what usually runs at once at a replica of the old release, as a part of its
	 * slots.
	 */
	double formerLoad() {
		return this.formerLoad;
	}

}
