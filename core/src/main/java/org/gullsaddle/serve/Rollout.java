package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gullsaddle.base.Spread;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.rollout.ChangeDetector;

/**
 * One roll-out as a node sees it: which part of the traffic the new release gets, and
 * whether it is bad. Confined to one thread.
 * <p>
 * A request goes to the new release if its session's number, the same on every node, is
 * below the share. The share only rises until the verdict, so that a session changes its
 * release at most once, and in the second half. Nodes pool their evidence by notes: one
 * node sees too few answers of a small share to know in time.
 */
public final class Rollout {

	/**
	 * The share of the new release in the first half: enough for some answers a second,
	 * and half of what a bad one may get.
	 */
	private static final double CANARY_SHARE = 0.08;

	/** When the share rises, as parts of the roll-out's time, and to what. */
	private static final double[][] RAMP = { { 0.52, 0.3 }, { 0.6, 0.6 }, { 0.68, 1 } };

	/**
	 * When the roll-out ends well, as a part of its time: what runs on old replicas is
	 * cut off then, so late, but with time left to write the state in an outage.
	 */
	private static final double COMPLETE_AT = 0.86;

	/** Without enough answers by then, the new release is taken back. */
	private static final double GIVE_UP_AT = 0.93;

	private static final int ENOUGH_ANSWERS = 10;

	private static final double GOOD_FAILURE_RATE = 0.06;

	private static final double BAD_FAILURE_RATE = 0.3;

	private static final double FAILED = Math.log(BAD_FAILURE_RATE / GOOD_FAILURE_RATE);

	private static final double SUCCEEDED = Math.log((1 - BAD_FAILURE_RATE) / (1 - GOOD_FAILURE_RATE));

	/** A hundred to one for a bad release. */
	private static final double THRESHOLD = Math.log(100);

	/** How many times slower than the old release an answer counts as a failure. */
	private static final double SLOW = 4;

	private static final double SLOW_MARGIN_MILLIS = 300;

	private static final double SMOOTHING = 0.1;

	private final RolloutOrder order;

	private final long revision;

	private final long seenAt;

	private final ChangeDetector detector = new ChangeDetector(THRESHOLD);

	private final Map<String, RolloutNote> others = new HashMap<>();

	private RolloutState state;

	private long stateRevision;

	private int answers;

	private double oldMillis;

	private long headStart;

	private boolean condemned;

	/**
	 * Makes a roll-out that was just ordered.
	 * @param now the time
	 * @param order the order
	 * @param revision the revision of the order
	 */
	public Rollout(long now, RolloutOrder order, long revision) {
		this.seenAt = now;
		this.order = order;
		this.revision = revision;
	}

	/**
	 * Returns the order.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

	/**
	 * Returns the store's revision of the order.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the state that was written last.
	 * @return the state, or empty if none was written for this order
	 */
	public Optional<RolloutState> state() {
		return Optional.ofNullable(this.state);
	}

	/**
	 * Returns the revision of the state, the guard of its next change.
	 * @return the revision, 0 if there was none
	 */
	public long stateRevision() {
		return this.stateRevision;
	}

	/**
	 * Takes in the state as written.
	 * @param newState the state
	 * @param target the release that it speaks of
	 * @param newRevision its revision
	 */
	public void progressed(RolloutState newState, String target, long newRevision) {
		this.stateRevision = Math.max(this.stateRevision, newRevision);
		if (target.equals(this.order.target()) && newRevision > this.revision) {
			this.state = newState;
		}
	}

	/**
	 * Notes the end of an answer.
	 * @param release the release that gave it
	 * @param failed whether it was a failure
	 * @param firstMillis how long its first part took, in milliseconds
	 */
	public void answered(String release, boolean failed, double firstMillis) {
		if (!release.equals(this.order.target())) {
			if (!failed) {
				this.oldMillis += SMOOTHING * (firstMillis - this.oldMillis);
			}
			return;
		}
		this.answers++;
		boolean slow = this.oldMillis > 0 && firstMillis > SLOW * this.oldMillis + SLOW_MARGIN_MILLIS;
		this.detector.add((failed || slow) ? FAILED : SUCCEEDED);
		judge();
	}

	/**
	 * Takes in another node's note.
	 * @param now the time
	 * @param note the note
	 */
	public void learn(long now, RolloutNote note) {
		this.others.put(note.node(), note);
		this.headStart = Math.max(this.headStart, note.elapsedMillis() - (now - this.seenAt));
		judge();
	}

	/**
	 * Returns what this node tells the others.
	 * @param now the time
	 * @param node this node's name
	 * @return the note
	 */
	public RolloutNote note(long now, String node) {
		return new RolloutNote(node, this.detector.sum(), this.answers, elapsed(now));
	}

	/**
	 * Returns the evidence against the new release, of all nodes.
	 * @return the sum of logarithms, 0 or more
	 */
	public double evidence() {
		return this.detector.sum() + this.others.values().stream().mapToDouble(RolloutNote::evidence).sum();
	}

	/**
	 * Returns the answers of the new release that are known of.
	 * @return the number
	 */
	public int answers() {
		return this.answers + this.others.values().stream().mapToInt(RolloutNote::answers).sum();
	}

	/**
	 * Returns the state that is to be written now.
	 * @param now the time
	 * @return the state, or empty if what is written stands
	 */
	public Optional<RolloutState> due(long now) {
		if (this.state == null) {
			return Optional.of(RolloutState.RUNNING);
		}
		if (this.state != RolloutState.RUNNING) {
			return Optional.empty();
		}
		double part = (double) elapsed(now) / this.order.durationMillis();
		if (this.condemned || part >= GIVE_UP_AT) {
			return Optional.of(RolloutState.ROLLED_BACK);
		}
		boolean proved = answers() >= ENOUGH_ANSWERS;
		return (proved && part >= COMPLETE_AT) ? Optional.of(RolloutState.COMPLETED) : Optional.empty();
	}

	/**
	 * Returns the share of the new release.
	 * @param now the time
	 * @return 0 to 1
	 */
	public double share(long now) {
		if (this.state == RolloutState.COMPLETED) {
			return 1;
		}
		if (this.condemned || this.state == RolloutState.ROLLED_BACK) {
			return 0;
		}
		double share = CANARY_SHARE;
		double part = (double) elapsed(now) / this.order.durationMillis();
		for (double[] step : RAMP) {
			share = (part >= step[0]) ? step[1] : share;
		}
		return share;
	}

	/**
	 * Keeps the replicas that a request may go to.
	 * @param now the time
	 * @param replicas the replicas of the service
	 * @param key the session, or what else the request keeps its release by
	 * @return those of its release; of the other release if there are none and that is
	 * not a bad one
	 */
	public List<Replica> allowed(long now, List<Replica> replicas, String key) {
		double share = share(now);
		boolean onTarget = Spread.unit(key + '@' + this.order.target()) < share;
		List<Replica> chosen = release(replicas, onTarget);
		if (chosen.isEmpty() && share > 0) {
			return release(replicas, !onTarget);
		}
		return chosen;
	}

	private List<Replica> release(List<Replica> replicas, boolean target) {
		return replicas.stream().filter((replica) -> replica.release().equals(this.order.target()) == target).toList();
	}

	private void judge() {
		this.condemned = this.condemned || evidence() >= THRESHOLD;
	}

	private long elapsed(long now) {
		return now - this.seenAt + this.headStart;
	}

}
