package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.Spread;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;

/**
 * One roll-out as a node sees it: which part of the traffic the new release gets, and
 * whether it is bad. Confined to one thread.
 * <p>
 * A request goes to the new release if its key's number, the same on every node, is below
 * the share. The share only rises until the verdict, so that a key changes its release at
 * most once. A session goes to the new release in the second half only: one that was
 * served by the old release just before must keep it, and a node does not know the
 * sessions of the others. Requests without a session are tried from the start. Nodes pool
 * their evidence by notes: one node sees too few answers of a small share to know in
 * time.
 */
public final class Rollout {

	/**
	 * The share of the new release at first: enough for some answers a second, and half
	 * of what a bad one may get.
	 */
	private static final double CANARY_SHARE = 0.08;

	/** When sessions may go to the new release, as a part of the roll-out's time. */
	private static final double SESSIONS_AT = 0.505;

	/** When the share rises, as parts of the roll-out's time, and to what. */
	private static final double[][] RAMP = { { 0.505, 0.15 }, { 0.57, 0.35 }, { 0.63, 0.65 }, { 0.69, 1 } };

	/**
	 * When the roll-out ends well, as a part of its time: what runs on old replicas is
	 * cut off then, so late, but with time left to write the state in an outage.
	 */
	private static final double COMPLETE_AT = 0.86;

	/** Without enough answers by then, the new release is taken back. */
	private static final double GIVE_UP_AT = 0.93;

	private static final int ENOUGH_ANSWERS = 10;

	/** A hundred to one for a bad release. */
	private static final double THRESHOLD = Math.log(100);

	/**
	 * How much longer than this node another one may have known the order for both to
	 * have known it from the start, in milliseconds.
	 */
	private static final long LATE_MILLIS = 3000;

	/** How many kinds of request are judged, each by itself; later ones count as one. */
	private static final int MAX_KINDS = 64;

	private static final AnswerKind OTHER_KINDS = new AnswerKind("other", "");

	private final RolloutOrder order;

	private final long revision;

	private final long seenAt;

	private final Map<AnswerKind, ReleaseTrial> trials = new HashMap<>();

	private final PooledEvidence evidence = new PooledEvidence(THRESHOLD);

	private final ReleaseUse use = new ReleaseUse();

	/** When each replica of the new release was last found slow, until its answer. */
	private final Map<ReplicaId, Long> slowUntil = new HashMap<>();

	private RolloutState state;

	private long stateRevision;

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
	 * Takes in the state as written. One that is older than what is known, from a reading
	 * that took long, changes nothing.
	 * @param newState the state
	 * @param target the release that it speaks of
	 * @param newRevision its revision
	 */
	public void progressed(RolloutState newState, String target, long newRevision) {
		if (newRevision < this.stateRevision) {
			return;
		}
		this.stateRevision = newRevision;
		if (target.equals(this.order.target()) && newRevision > this.revision) {
			this.state = newState;
		}
	}

	/**
	 * Notes the end of an answer.
	 * @param replica the replica that gave it
	 * @param kind what it is compared by
	 * @param failed whether it was a failure
	 * @param sentAt when the request was sent, in milliseconds
	 * @param firstMillis how long its first part took, in milliseconds
	 */
	public void answered(Replica replica, AnswerKind kind, boolean failed, long sentAt, long firstMillis) {
		boolean known = this.trials.containsKey(kind) || this.trials.size() < MAX_KINDS;
		ReleaseTrial trial = this.trials.computeIfAbsent(known ? kind : OTHER_KINDS, (missing) -> new ReleaseTrial());
		if (!ofTarget(replica)) {
			trial.oldAnswered(failed, firstMillis);
			return;
		}
		if (!failed && trial.slow(firstMillis) && !newlySlow(replica.id(), sentAt, firstMillis)) {
			return;
		}
		this.evidence.answered((known ? kind : OTHER_KINDS).route(), trial.newAnswered(failed, firstMillis));
		judge();
	}

	/**
	 * Says whether a slow answer is news. All that wait at a replica while it reads one
	 * very long prompt are answered late together; that is one event of one replica, and
	 * says little of the release.
	 */
	private boolean newlySlow(ReplicaId replica, long sentAt, long firstMillis) {
		if (sentAt < this.slowUntil.getOrDefault(replica, Long.MIN_VALUE)) {
			return false;
		}
		this.slowUntil.put(replica, sentAt + firstMillis);
		return true;
	}

	/**
	 * Notes that this node sent a request to a replica.
	 * @param replica the replica
	 */
	public void sent(Replica replica) {
		this.use.sent(ofTarget(replica));
	}

	/**
	 * Takes in what a replica told of its load.
	 * @param replica the replica
	 * @param load its load
	 */
	public void told(Replica replica, LoadReport load) {
		this.use.told(ofTarget(replica), load);
	}

	/**
	 * Takes in another node's note.
	 * @param now the time
	 * @param note the note
	 */
	public void learn(long now, RolloutNote note) {
		this.evidence.learn(note, note.elapsedMillis() - (now - this.seenAt) < LATE_MILLIS);
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
		return this.evidence.note(node, elapsed(now));
	}

	/**
	 * Returns the evidence against the new release, of all nodes.
	 * @return the sum of logarithms, 0 or more
	 */
	public double evidence() {
		return this.evidence.sum();
	}

	/**
	 * Returns the answers of the new release that are known of.
	 * @return the number
	 */
	public int answers() {
		return this.evidence.answers();
	}

	/**
	 * Returns how far the new release has come, as this node knows.
	 * @param now the time
	 * @return its figures
	 */
	public RolloutProgress progress(long now) {
		return new RolloutProgress(part(now), share(now), this.use.sent(), this.use.sentToTarget(),
				this.use.triedLoad(), this.use.formerLoad());
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
		double part = part(now);
		if (this.condemned || part >= GIVE_UP_AT) {
			return Optional.of(RolloutState.ROLLED_BACK);
		}
		boolean proved = answers() >= ENOUGH_ANSWERS;
		return (proved && part >= COMPLETE_AT) ? Optional.of(RolloutState.COMPLETED) : Optional.empty();
	}

	/**
	 * Returns the share of the new release among the requests that it is open to.
	 * @param now the time
	 * @return 0 to 1
	 */
	public double share(long now) {
		if (this.state == RolloutState.COMPLETED) {
			return 1;
		}
		if (takenBack()) {
			return 0;
		}
		double share = CANARY_SHARE;
		double part = part(now);
		for (double[] step : RAMP) {
			share = (part >= step[0]) ? step[1] : share;
		}
		return share;
	}

	/**
	 * Keeps the replicas that a request may go to.
	 * @param now the time
	 * @param replicas the replicas of the service
	 * @param key what the request keeps its release by
	 * @return those of its release; of the other release if there are none and that is
	 * not a bad one
	 */
	public List<Replica> allowed(long now, List<Replica> replicas, ReleaseKey key) {
		boolean onTarget = Spread.unit(key.value() + '@' + this.order.target()) < share(now, key);
		List<Replica> chosen = release(replicas, onTarget);
		if (chosen.isEmpty() && !takenBack()) {
			return release(replicas, !onTarget);
		}
		return chosen;
	}

	/**
	 * Returns the replicas of the release that the roll-out replaces.
	 * @param replicas the replicas to choose from
	 * @return those that are not of its target, none once it is completed
	 */
	List<Replica> former(List<Replica> replicas) {
		return (this.state == RolloutState.COMPLETED) ? List.of() : release(replicas, false);
	}

	private double share(long now, ReleaseKey key) {
		boolean early = part(now) < SESSIONS_AT && this.state != RolloutState.COMPLETED;
		return (early && key.session()) ? 0 : share(now);
	}

	private boolean takenBack() {
		return this.condemned || this.state == RolloutState.ROLLED_BACK;
	}

	private List<Replica> release(List<Replica> replicas, boolean target) {
		return replicas.stream().filter((replica) -> ofTarget(replica) == target).toList();
	}

	private boolean ofTarget(Replica replica) {
		return replica.release().equals(this.order.target());
	}

	private void judge() {
		this.condemned = this.condemned || this.evidence.enough();
	}

	private double part(long now) {
		return (double) elapsed(now) / this.order.durationMillis();
	}

	private long elapsed(long now) {
		return now - this.seenAt + this.headStart;
	}

}
