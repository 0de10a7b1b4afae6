package org.gullsaddle.entry;

import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.wire.Frame;

/**
 * What a shard carries its actions out with.
 */
interface EntryServices {

	ClaimRegistry claims();

	SessionRegistry sessions();

	RatingClient ratingClient();

	/**
	 * Sends an attempt; false if there is no link, and nothing was written.
	 */
	boolean dispatch(NodeId agent, Dispatch dispatch);

	/**
	 * Sends a frame, if there is a link.
	 */
	void send(NodeId agent, Frame frame);

	/**
	 * Tells this node's other shards and all other nodes of a suspicion.
	 */
	void announceSuspect(SuspectContent suspicion);

	/**
	 * Tells this node's other shards, all other entries and the operators of a halt.
	 */
	void announceHalt(Halt halt);

	/**
	 * Writes a request's record to the ledger ahead of its answer. The request's shard
	 * hears once the store has it.
	 */
	void writeRecordBeforeAnswer(RequestRecord record);

	/**
	 * Writes a request's record to the ledger and gives its permit back.
	 */
	void writeRecord(RequestRecord record);

}
