package org.gullsaddle.entry;

import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.wire.Frame;

/**
 * Services that a shard uses to execute the router's actions.
 */
interface EntryServices {

	ClaimRegistry claims();

	SessionRegistry sessions();

	RatingClient ratingClient();

	/**
	 * Sends an attempt to an agent. Returns false if there is no link and nothing was
	 * sent.
	 */
	boolean dispatch(NodeId agent, Dispatch dispatch);

	/**
	 * Sends a frame to an agent, or drops it if there is no link.
	 */
	void send(NodeId agent, Frame frame);

	/**
	 * Announces a suspect content to this node's shards and all other entries.
	 */
	void announceSuspect(SuspectContent suspicion);

	/**
	 * Announces a halt to this node's shards, all other entries and the operators.
	 */
	void announceHalt(Halt halt);

	/**
	 * Writes a request's record to the ledger before its answer is sent. The request's
	 * shard gets an event when the store has the record.
	 */
	void writeRecordBeforeAnswer(RequestRecord record);

	/**
	 * Writes the record of an ended request to the ledger and releases its permit.
	 */
	void writeRecord(RequestRecord record);

}
