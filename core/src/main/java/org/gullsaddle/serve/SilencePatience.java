package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ReplicaId;

/**
 * Decides what a request does whose replica sends nothing: an engine with a long queue is
 * as silent as one that went dark, but it answers a question for its load. Confined to
 * one thread.
 * <p>
 * Moved for the silence of a queue, a request loses its place there and is run anew
 * elsewhere, behind others that were moved as well: the queues stay as long, and much of
 * the work is done twice.
 */
public final class SilencePatience {

	/**
	 * How often one replica is asked at most, in milliseconds; questions are paid for.
	 */
	private static final long ASK_EVERY_MILLIS = 1000;

	/**
	 * How long before the end of a request's patience its replica is asked, in
	 * milliseconds, so that one that went dark is left no later than without a question.
	 */
	public static final long ANSWER_MILLIS = 150;

	/**
	 * What part of the wait here another replica may take to be clearly sooner: a request
	 * that waits is half through its queue on the mean.
	 */
	private static final double CLEARLY = 0.5;

	private final Map<ReplicaId, Question> questions = new HashMap<>();

	/**
	 * Decides what a request does.
	 * @param now the time in milliseconds
	 * @param replica the replica that has it
	 * @param silentSince since when nothing came from there, in milliseconds
	 * @param patienceMillis how long that may last, in milliseconds
	 * @return what it does
	 */
	public Advice look(long now, ReplicaId replica, long silentSince, long patienceMillis) {
		long patienceEnds = silentSince + patienceMillis;
		if (now < patienceEnds - ANSWER_MILLIS) {
			return Advice.WAIT;
		}
		return switch (this.questions.get(replica)) {
			case null -> Advice.ASK;
			case Question.Open open -> Advice.WAIT;
			case Question.Queues queues -> queues(now, queues.at(), patienceEnds, patienceMillis);
			case Question.NoQueue noQueue -> noQueue(now, noQueue.at(), silentSince, patienceEnds);
		};
	}

	/**
	 * What it told counts as heard: it is asked again a whole patience later.
	 */
	private static Advice queues(long now, long toldAt, long patienceEnds, long patienceMillis) {
		if (now >= toldAt + Math.max(ASK_EVERY_MILLIS, patienceMillis - ANSWER_MILLIS)) {
			return Advice.ASK;
		}
		return (now > patienceEnds) ? Advice.STAY : Advice.WAIT;
	}

	private static Advice noQueue(long now, long at, long silentSince, long patienceEnds) {
		if (now >= at + ASK_EVERY_MILLIS) {
			return Advice.ASK;
		}
		return (now > patienceEnds && at > silentSince) ? Advice.LEAVE : Advice.WAIT;
	}

	/**
	 * Notes that a replica is asked for its load.
	 * @param replica the replica
	 */
	public void asked(ReplicaId replica) {
		this.questions.put(replica, new Question.Open());
	}

	/**
	 * Notes what it told.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report its load
	 */
	public void told(long now, ReplicaId replica, EngineReport report) {
		// Without prompts to be read, no request waits for its turn there.
		this.questions.put(replica, (report.unread() > 0) ? new Question.Queues(now) : new Question.NoQueue(now));
	}

	/**
	 * Notes that it told nothing in time.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void notTold(long now, ReplicaId replica) {
		this.questions.put(replica, new Question.NoQueue(now));
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.questions.keySet().retainAll(known);
	}

	/**
	 * Says whether an answer would begin clearly sooner at another replica. A move costs
	 * the place in the queue, and both delays are guesses.
	 * @param here when it would begin here if the request came now
	 * @param there when it would begin at the other replica
	 * @return true if the request is better moved
	 */
	public static boolean sooner(DelayEstimate here, DelayEstimate there) {
		return there.expectedMillis() + there.deviationMillis() < CLEARLY * here.expectedMillis();
	}

	/**
	 * What a request does.
	 */
	public enum Advice {

		/** It waits: its patience is not over, or an answer is expected. */
		WAIT,

		/** Its replica is asked for its load. */
		ASK,

		/** It waits its turn, unless another replica would begin clearly sooner. */
		STAY,

		/** It leaves. */
		LEAVE

	}

	/**
	 * The last question to a replica.
	 */
	private sealed interface Question {

		/**
		 * It was not answered yet.
		 */
		record Open() implements Question {
		}

		/**
		 * The replica told of requests that wait their turn.
		 */
		record Queues(long at) implements Question {
		}

		/**
		 * It told of none, or nothing at all.
		 */
		record NoQueue(long at) implements Question {
		}

	}

}
