package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.List;

import org.gullsaddle.serve.EngineReport;
import org.gullsaddle.serve.PrefixCacheModel;

/**
 * A model engine on a timeline: it batches requests, steps at the pace of the slowest
 * model in the batch, reads prompts in chunks between steps, and keeps the parts of
 * prompts that were used last.
 */
final class EngineModel {

	private final EngineShape shape;

	private final Timeline time;

	private final List<EngineJob> jobs = new ArrayList<>();

	private final PrefixCacheModel kept = new PrefixCacheModel();

	private long readTokens;

	private boolean stepping;

	EngineModel(EngineShape shape, Timeline time) {
		this.shape = shape;
		this.time = time;
	}

	/**
	 * Takes a request; its listeners are told of the first token and of the end.
	 */
	void take(EngineJob job) {
		this.jobs.add(job);
		if (!this.stepping) {
			step();
		}
	}

	/**
	 * Gives a request up.
	 */
	void drop(EngineJob job) {
		this.jobs.remove(job);
	}

	/**
	 * Ends all requests without an answer.
	 */
	void crash() {
		this.jobs.clear();
	}

	int requests() {
		return this.jobs.size();
	}

	/**
	 * Returns what it would say of itself if it were asked.
	 */
	EngineReport report() {
		int running = Math.min(this.shape.slots(), this.jobs.size());
		int reading = (int) this.jobs.stream().limit(running).filter((job) -> job.unread() > 0).count();
		return new EngineReport(running, reading, this.jobs.size() - running);
	}

	/**
	 * Returns how many prompt tokens it has read.
	 */
	long readTokens() {
		return this.readTokens;
	}

	/**
	 * Returns how long it would be until a job's first token if the job came now, in
	 * milliseconds: what only the engine itself knows.
	 */
	double expectedFirstMillis(EngineJob job) {
		double read = unread(job) * job.pace();
		double slowest = job.pace();
		for (EngineJob each : this.jobs) {
			read += each.unread() * each.pace();
			slowest = Math.max(slowest, each.pace());
		}
		double chunks = read / this.shape.chunkTokens() / Math.max(1, slowest);
		return read / this.shape.readTokensPerMilli() + chunks * slowest * stepMillis(running());
	}

	private void step() {
		List<EngineJob> inSlots = this.jobs.subList(0, Math.min(this.shape.slots(), this.jobs.size()));
		this.stepping = !inSlots.isEmpty();
		if (!this.stepping) {
			return;
		}
		inSlots.forEach(this::begin);
		double slowest = 0;
		EngineJob reading = null;
		List<EngineJob> generating = new ArrayList<>();
		for (EngineJob job : inSlots) {
			slowest = Math.max(slowest, job.pace());
			if (job.unread() == 0) {
				generating.add(job);
			}
			else if (reading == null) {
				reading = job;
			}
		}
		double millis = generating.isEmpty() ? 0 : slowest * stepMillis(generating.size());
		int chunk = 0;
		if (reading != null) {
			chunk = Math.min(this.shape.chunkTokens(), reading.unread());
			millis += chunk * reading.pace() / this.shape.readTokensPerMilli();
		}
		EngineJob read = reading;
		int tokens = chunk;
		this.time.at(this.time.now() + millis, () -> stepped(generating, read, tokens));
	}

	private void stepped(List<EngineJob> generating, EngineJob reading, int tokens) {
		if (reading != null) {
			reading.read(tokens);
			this.readTokens += tokens;
		}
		for (EngineJob job : generating) {
			if (job.generate(this.time.now())) {
				this.jobs.remove(job);
				job.end();
			}
		}
		step();
	}

	private void begin(EngineJob job) {
		if (job.begun()) {
			return;
		}
		job.begin(unread(job));
		this.kept.onPromptRead(job.model(), job.parts(), this.shape.memoryTokens());
	}

	private int unread(EngineJob job) {
		return Math.max(1, job.promptTokens() - this.kept.cachedTokens(job.model(), job.parts()));
	}

	private double stepMillis(int running) {
		return this.shape.stepMillis() + this.shape.stepMillisPerRequest() * running;
	}

	private int running() {
		return (int) this.jobs.stream().filter((job) -> job.begun() && job.unread() == 0).count();
	}

}
