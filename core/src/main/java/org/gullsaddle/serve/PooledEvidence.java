package org.gullsaddle.serve;

import java.util.Arrays;
import java.util.Collection;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.stream.DoubleStream;

import org.gullsaddle.rollout.ChangeDetector;

/**
 * The evidence against a new release from the answers of all nodes, as if one node had
 * seen them. Confined to one thread.
 * <p>
 * Nodes report signed sums of evidence, and the change since a node's last report is
 * added here. It would not do if each node cut its own sum off at zero: good answers at
 * one node would then not outweigh a failure at another, and among many nodes some have
 * always just seen a failure.
 */
final class PooledEvidence {

	/**
	 * The key, among the routes, of the answers from replicas under load on any route.
	 */
	private static final String UNDER_LOAD_KEY = "under load";

	/** The key, among the routes, of answers that begin late on any route. */
	static final String PACE_KEY = "pace";

	/**
	 * The number of answers that the threshold suits; with more, false alarms grow
	 * likelier.
	 */
	private static final double THRESHOLD_ANSWERS = 17;

	private final double threshold;

	private final ChangeDetector total;

	private final Map<String, ChangeDetector> evidenceByRoute = new HashMap<>();

	private final Map<String, RolloutNote> notesByNode = new HashMap<>();

	private final Map<String, Double> ownEvidenceByRoute = new HashMap<>();

	private double ownEvidence;

	private int ownAnswerCount;

	PooledEvidence(double threshold) {
		this.threshold = threshold;
		this.total = new ChangeDetector(threshold);
	}

	/**
	 * Adds the evidence of an answer that this node saw.
	 */
	void recordAnswer(String route, double evidence) {
		this.ownAnswerCount++;
		this.ownEvidence += evidence;
		this.ownEvidenceByRoute.merge(route, evidence, Double::sum);
		add(route, evidence);
		this.total.add(evidence);
	}

	/**
	 * Adds the evidence of an answer under load. These answers are also judged
	 * separately, because many answers without load would hide their failures.
	 */
	void recordAnswerUnderLoad(double evidence) {
		this.ownEvidenceByRoute.merge(UNDER_LOAD_KEY, evidence, Double::sum);
		add(UNDER_LOAD_KEY, evidence);
	}

	/**
	 * Adds the evidence of when an answer began. It is judged separately, because the
	 * answers of a slow release hardly ever fail.
	 */
	void recordPace(double evidence) {
		this.ownEvidenceByRoute.merge(PACE_KEY, evidence, Double::sum);
		add(PACE_KEY, evidence);
	}

	/**
	 * Returns the signed evidence of when answers began, of all nodes, or empty if no
	 * answer was judged by that.
	 */
	OptionalDouble pace() {
		DoubleStream own = this.ownEvidenceByRoute.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().equals(PACE_KEY))
			.mapToDouble(Map.Entry::getValue);
		DoubleStream ofPeers = this.notesByNode.values()
			.stream()
			.filter((note) -> note.routes().containsKey(PACE_KEY))
			.mapToDouble((note) -> note.routes().get(PACE_KEY));
		DoubleSummaryStatistics all = DoubleStream.concat(own, ofPeers).summaryStatistics();
		return (all.getCount() > 0) ? OptionalDouble.of(all.getSum()) : OptionalDouble.empty();
	}

	/**
	 * Handles a peer's note.
	 * @param fromTheStart whether this node has followed the roll-out since its order;
	 * otherwise the first note of a peer may include old evidence and only sets the base
	 * for the next one
	 */
	void onNote(RolloutNote note, boolean fromTheStart) {
		RolloutNote before = this.notesByNode.put(note.node(), note);
		if (before == null && !fromTheStart) {
			return;
		}
		// The sums of a restarted node begin at zero.
		boolean fromZero = before == null || note.answers() < before.answers();
		this.total.add(note.evidence() - (fromZero ? 0 : before.evidence()));
		note.routes()
			.forEach((route, evidence) -> add(route,
					evidence - (fromZero ? 0 : before.routes().getOrDefault(route, 0.0))));
	}

	private void add(String route, double evidence) {
		this.evidenceByRoute.computeIfAbsent(route, (missing) -> new ChangeDetector(this.threshold)).add(evidence);
	}

	/**
	 * Returns whether the release is bad for all requests or for those of one route. The
	 * threshold rises with the number of answers and of suspected routes.
	 * @param underLoad the number of answers under load
	 */
	boolean isReleaseBad(int underLoad) {
		ChangeDetector ofLoaded = this.evidenceByRoute.get(UNDER_LOAD_KEY);
		if (ofLoaded != null && ofLoaded.sum() >= this.threshold + Math.log(1 + underLoad / THRESHOLD_ANSWERS)) {
			return true;
		}
		double required = this.threshold + Math.log(1 + answerCount() / THRESHOLD_ANSWERS);
		double[] suspected = this.evidenceByRoute.values()
			.stream()
			.mapToDouble(ChangeDetector::sum)
			.filter((sum) -> sum > 0)
			.toArray();
		double strongest = Arrays.stream(suspected).max().orElse(0);
		return this.total.sum() >= required || strongest >= required + Math.log(Math.max(1, suspected.length));
	}

	/**
	 * Returns the strongest evidence: from all requests or from those of one route.
	 */
	double maxEvidence() {
		return Math.max(this.total.sum(),
				this.evidenceByRoute.values().stream().mapToDouble(ChangeDetector::sum).max().orElse(0));
	}

	/**
	 * Returns the evidence from all requests, never negative.
	 */
	double totalEvidence() {
		return this.total.sum();
	}

	int answerCount() {
		return this.ownAnswerCount + this.notesByNode.values().stream().mapToInt(RolloutNote::answers).sum();
	}

	/**
	 * Returns the signed sum over the answers that this node saw.
	 */
	double ownEvidence() {
		return this.ownEvidence;
	}

	/**
	 * Returns the signed sum for each route.
	 */
	Map<String, Double> ownEvidenceByRoute() {
		return this.ownEvidenceByRoute;
	}

	int ownAnswerCount() {
		return this.ownAnswerCount;
	}

	/**
	 * Returns the last note of each peer.
	 */
	Collection<RolloutNote> notes() {
		return this.notesByNode.values();
	}

}
