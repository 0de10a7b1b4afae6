package org.gullsaddle.ledger;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;

import org.gullsaddle.base.Json;
import org.gullsaddle.base.RequestId;

/**
 * An entry of the ledger, kept and hashed as JSON.
 */
public sealed interface LedgerEntry {

	/**
	 * Returns the request it belongs to.
	 * @return the request
	 */
	RequestId request();

	/**
	 * Returns the JSON text that is stored and hashed.
	 * @return the text
	 */
	String text();

	/**
	 * Parses an entry's text.
	 * @param text the text
	 * @return the entry
	 * @throws IOException if the text is of no known kind
	 */
	static LedgerEntry read(String text) throws IOException {
		JsonNode tree = Json.tree(text);
		if (tree.has("request")) {
			return new RequestEntry(Json.convert(tree, RequestRecord.class));
		}
		if (tree.has("line")) {
			return new AttemptEntry(Json.convert(tree, AgentRecord.class));
		}
		throw new IOException("a ledger entry is neither a request's nor an agent's record");
	}

	/**
	 * A request's record, written by its entry node.
	 *
	 * @param record the record
	 */
	record RequestEntry(RequestRecord record) implements LedgerEntry {

		@Override
		public RequestId request() {
			return this.record.request();
		}

		@Override
		public String text() {
			return Json.write(this.record);
		}

	}

	/**
	 * One attempt's record, written by its agent.
	 *
	 * @param agentRecord the agent's record
	 */
	record AttemptEntry(AgentRecord agentRecord) implements LedgerEntry {

		@Override
		public RequestId request() {
			return this.agentRecord.line().attempt().request();
		}

		@Override
		public String text() {
			return Json.write(this.agentRecord);
		}

	}

}
