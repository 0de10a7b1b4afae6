package org.gullsaddle.serve;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.gullsaddle.rollout.ChangeDetector;

/**
 * The evidence against a new release from the answers that all nodes saw, as if one node
 * had seen them. Confined to one thread.
 * <p>
 * Nodes tell sums of what speaks against the release and for it. Only what is new in a
 * sum is added. Evidence that each node cuts off at nothing by itself would not do: good
 * answers at one node then count nothing against a failure at another, and of many nodes
 * some have always just seen a failure.
 */
final class PooledEvidence {

	/** Stands among the routes for answers of replicas under load, of any route. */
	private static final String UNDER_LOAD_KEY = "under load";

	/** How many answers the threshold is made for; more make chance findings likelier. */
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
	 * Adds what an answer that this node saw says against the release.
	 */
	void recordAnswer(String route, double says) {
		this.ownAnswerCount++;
		this.ownEvidence += says;
		this.ownEvidenceByRoute.merge(route, says, Double::sum);
		add(route, says);
		this.total.add(says);
	}

	/**
	 * Adds the same of an answer that was given under load. Those are judged by
	 * themselves too, as many answers without load hide them.
	 */
	void recordAnswerUnderLoad(double says) {
		this.ownEvidenceByRoute.merge(UNDER_LOAD_KEY, says, Double::sum);
		add(UNDER_LOAD_KEY, says);
	}

	/**
	 * Takes in another node's note.
	 * @param fromTheStart whether this node has seen the roll-out since its order; else
	 * the first note of another node may tell of long ago
	 */
	void onNote(RolloutNote note, boolean fromTheStart) {
		RolloutNote before = this.notesByNode.put(note.node(), note);
		if (before == null && !fromTheStart) {
			return;
		}
		// A node that started again begins its sums anew.
		boolean anew = before == null || note.answers() < before.answers();
		this.total.add(note.evidence() - (anew ? 0 : before.evidence()));
		note.routes()
			.forEach((route, evidence) -> add(route, evidence - (anew ? 0 : before.routes().getOrDefault(route, 0.0))));
	}

	private void add(String route, double says) {
		this.evidenceByRoute.computeIfAbsent(route, (missing) -> new ChangeDetector(this.threshold)).add(says);
	}

	/**
	 * Says whether the release is bad: for all requests, or for those of one route. The
	 * more answers there were, and the more routes are suspected, the more it takes.
	 * @param underLoad how many answers were given under load
	 */
	boolean isReleaseBad(int underLoad) {
		ChangeDetector loaded = this.evidenceByRoute.get(UNDER_LOAD_KEY);
		if (loaded != null && loaded.sum() >= this.threshold + Math.log(1 + underLoad / THRESHOLD_ANSWERS)) {
			return true;
		}
		double enough = this.threshold + Math.log(1 + answerCount() / THRESHOLD_ANSWERS);
		double[] suspected = this.evidenceByRoute.values()
			.stream()
			.mapToDouble(ChangeDetector::sum)
			.filter((sum) -> sum > 0)
			.toArray();
		double most = Arrays.stream(suspected).max().orElse(0);
		return this.total.sum() >= enough || most >= enough + Math.log(Math.max(1, suspected.length));
	}

	/**
	 * Returns the most evidence, from all requests or from those of one route.
	 */
	double maxEvidence() {
		return Math.max(this.total.sum(),
				this.evidenceByRoute.values().stream().mapToDouble(ChangeDetector::sum).max().orElse(0));
	}

	/**
	 * Returns the evidence from all requests, 0 or more.
	 */
	double totalEvidence() {
		return this.total.sum();
	}

	int answerCount() {
		return this.ownAnswerCount + this.notesByNode.values().stream().mapToInt(RolloutNote::answers).sum();
	}

	/**
	 * Returns the sum over the answers that this node saw.
	 */
	double ownEvidence() {
		return this.ownEvidence;
	}

	/**
	 * Returns the same for each route by itself.
	 */
	Map<String, Double> ownEvidenceByRoute() {
		return this.ownEvidenceByRoute;
	}

	int ownAnswerCount() {
		return this.ownAnswerCount;
	}

	/**
	 * Returns the last note of each other node.
	 */
	Collection<RolloutNote> notes() {
		return this.notesByNode.values();
	}

}
