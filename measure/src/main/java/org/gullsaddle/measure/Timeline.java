package org.gullsaddle.measure;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Things that happen at set times, on a virtual clock in milliseconds.
 */
final class Timeline {

	private final PriorityQueue<Due> queue = new PriorityQueue<>(
			Comparator.comparingDouble(Due::time).thenComparingLong(Due::order));

	private double now;

	private long sequence;

	double now() {
		return this.now;
	}

	boolean isEmpty() {
		return this.queue.isEmpty();
	}

	/**
	 * Has something happen at a time.
	 */
	void at(double time, Runnable action) {
		this.sequence++;
		this.queue.add(new Due(time, this.sequence, action));
	}

	/**
	 * Lets everything happen, in order of time.
	 */
	void run() {
		while (!this.queue.isEmpty()) {
			Due due = this.queue.poll();
			this.now = due.time();
			due.action().run();
		}
	}

	/**
	 * Draws how long it is until the next of arrivals that come independently, in
	 * milliseconds.
	 * @param perMilli how many come in a millisecond on average
	 */
	static double gap(Random random, double perMilli) {
		return -Math.log(1 - random.nextDouble()) / perMilli;
	}

	private record Due(double time, long order, Runnable action) {
	}

}
