package org.gullsaddle.measure;

import java.util.List;

import org.gullsaddle.serve.PromptPart;

/**
 * A request at an engine.
 */
final class EngineJob {

	private final String model;

	private final double pace;

	private final List<PromptPart> parts;

	private final Listener listener;

	private int unread;

	private int tokensLeft;

	private boolean begun;

	private boolean answered;

	/**
	 * Makes a request.
	 * @param pace how many times longer its model takes than one of pace 1
	 * @param parts the parts of its prompt
	 * @param outputTokens how many tokens it generates
	 */
	EngineJob(String model, double pace, List<PromptPart> parts, int outputTokens, Listener listener) {
		this.model = model;
		this.pace = pace;
		this.parts = List.copyOf(parts);
		this.tokensLeft = outputTokens;
		this.listener = listener;
		this.unread = promptTokens();
	}

	String model() {
		return this.model;
	}

	double pace() {
		return this.pace;
	}

	List<PromptPart> parts() {
		return this.parts;
	}

	int promptTokens() {
		return this.parts.stream().mapToInt(PromptPart::tokens).sum();
	}

	boolean begun() {
		return this.begun;
	}

	void begin(int toRead) {
		this.begun = true;
		this.unread = toRead;
	}

	int unread() {
		return this.unread;
	}

	void read(int tokens) {
		this.unread -= tokens;
	}

	/**
	 * Generates a token.
	 * @return whether it was the last one
	 */
	boolean generate(double now) {
		if (!this.answered) {
			this.answered = true;
			this.listener.first(now);
		}
		this.tokensLeft--;
		return this.tokensLeft <= 0;
	}

	void end() {
		this.listener.ended();
	}

	/**
	 * Is told how a request goes.
	 */
	interface Listener {

		/**
		 * Its first token was generated.
		 */
		void first(double now);

		/**
		 * Its last one was.
		 */
		void ended();

	}

}
