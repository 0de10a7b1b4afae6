package org.gullsaddle.wire;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.settings.Role;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.template.TemplateRevision;

/**
 * A message between two nodes. A frame of an unknown kind is read as {@link Unknown} and
 * skipped, so that nodes can run different releases.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "k", defaultImpl = Frame.Unknown.class)
@JsonSubTypes({ @JsonSubTypes.Type(value = Frame.Challenge.class, name = "challenge"),
		@JsonSubTypes.Type(value = Frame.Hello.class, name = "hello"),
		@JsonSubTypes.Type(value = Frame.Welcome.class, name = "welcome"),
		@JsonSubTypes.Type(value = Frame.Ping.class, name = "ping"),
		@JsonSubTypes.Type(value = Frame.Pong.class, name = "pong"),
		@JsonSubTypes.Type(value = Frame.Status.class, name = "status"),
		@JsonSubTypes.Type(value = Frame.Load.class, name = "load"),
		@JsonSubTypes.Type(value = Frame.Leaving.class, name = "leaving"),
		@JsonSubTypes.Type(value = Frame.Dispatched.class, name = "dispatch"),
		@JsonSubTypes.Type(value = Frame.Cancel.class, name = "cancel"),
		@JsonSubTypes.Type(value = Frame.Credit.class, name = "credit"),
		@JsonSubTypes.Type(value = Frame.Accepted.class, name = "accepted"),
		@JsonSubTypes.Type(value = Frame.Refused.class, name = "refused"),
		@JsonSubTypes.Type(value = Frame.Chunk.class, name = "chunk"),
		@JsonSubTypes.Type(value = Frame.Done.class, name = "done"),
		@JsonSubTypes.Type(value = Frame.Failed.class, name = "failed"),
		@JsonSubTypes.Type(value = Frame.Copy.class, name = "copy"),
		@JsonSubTypes.Type(value = Frame.CopyHeld.class, name = "copy-held"),
		@JsonSubTypes.Type(value = Frame.Recorded.class, name = "recorded"),
		@JsonSubTypes.Type(value = Frame.Templates.class, name = "templates"),
		@JsonSubTypes.Type(value = Frame.InForce.class, name = "in-force"),
		@JsonSubTypes.Type(value = Frame.Halted.class, name = "halted"),
		@JsonSubTypes.Type(value = Frame.Suspect.class, name = "suspect") })
public sealed interface Frame {

	/**
	 * The accepting side's first frame.
	 *
	 * @param protocol its protocol version
	 * @param node its name
	 * @param role its role
	 * @param nonce random text that the peer's proof must cover
	 */
	record Challenge(int protocol, NodeId node, Role role, String nonce) implements Frame {
	}

	/**
	 * The dialing side's answer.
	 *
	 * @param protocol its protocol version
	 * @param node its name
	 * @param role its role
	 * @param nonce random text that the other side's proof must cover
	 * @param proof proves that it knows the key
	 * @param clock its monotonic time in milliseconds
	 */
	record Hello(int protocol, NodeId node, Role role, String nonce, String proof, long clock) implements Frame {
	}

	/**
	 * The accepting side's proof, which establishes the link.
	 *
	 * @param proof proves that it knows the key
	 */
	record Welcome(String proof) implements Frame {
	}

	/**
	 * Checks that the other side is alive.
	 *
	 * @param clock the sender's monotonic time in milliseconds
	 * @param storeAge the time since the store last answered the sender, in milliseconds;
	 * -1 if the sender does not use the store
	 */
	record Ping(long clock, long storeAge) implements Frame {
	}

	/**
	 * Answers a {@link Ping}.
	 *
	 * @param echo the ping's clock
	 * @param clock the sender's monotonic time in milliseconds
	 */
	record Pong(long echo, long clock) implements Frame {
	}

	/**
	 * The model versions and load of an agent.
	 *
	 * @param agent the agent
	 * @param leaving whether it takes no new work
	 */
	record Status(AgentInfo agent, boolean leaving) implements Frame {
	}

	/**
	 * An agent's load.
	 *
	 * @param load the load
	 */
	record Load(LoadReport load) implements Frame {
	}

	/**
	 * An agent takes no new work from now on.
	 */
	record Leaving() implements Frame {
	}

	/**
	 * An attempt for an agent.
	 *
	 * @param dispatch the attempt
	 */
	record Dispatched(Dispatch dispatch) implements Frame {
	}

	/**
	 * Cancels an attempt.
	 *
	 * @param attempt the attempt
	 */
	record Cancel(AttemptId attempt) implements Frame {
	}

	/**
	 * Allows more of an answer to be sent.
	 *
	 * @param attempt the attempt
	 * @param characters the number of characters that the caller has consumed
	 */
	record Credit(AttemptId attempt, int characters) implements Frame {
	}

	/**
	 * An attempt is queued or running.
	 *
	 * @param attempt the attempt
	 * @param ahead the number of attempts queued before it
	 */
	record Accepted(AttemptId attempt, int ahead) implements Frame {
	}

	/**
	 * An attempt was not and will not be run.
	 *
	 * @param attempt the attempt
	 * @param refusal the reason
	 */
	record Refused(AttemptId attempt, Refusal refusal) implements Frame {
	}

	/**
	 * A part of an answer.
	 *
	 * @param attempt the attempt
	 * @param offset how many characters of the whole answer come before it
	 * @param text the part
	 */
	record Chunk(AttemptId attempt, long offset, String text) implements Frame {
	}

	/**
	 * An answer's end.
	 *
	 * @param attempt the attempt
	 * @param completion how it completed
	 * @param length how many characters the whole answer has
	 */
	record Done(AttemptId attempt, Completion completion, long length) implements Frame {
	}

	/**
	 * An attempt failed before its end.
	 *
	 * @param attempt the attempt
	 * @param verdict whether it may have run
	 * @param crashed whether the backend server crashed
	 * @param usage the tokens used as far as known
	 */
	record Failed(AttemptId attempt, Verdict verdict, boolean crashed, Usage usage) implements Frame {
	}

	/**
	 * Asks the receiver to hold a copy of an attempt's record, in case its entry and its
	 * agent are both lost.
	 *
	 * @param line the record
	 */
	record Copy(AgentRecord line) implements Frame {
	}

	/**
	 * A copy is held.
	 *
	 * @param attempt the attempt
	 */
	record CopyHeld(AttemptId attempt) implements Frame {
	}

	/**
	 * The records of these requests are in the store; copies held for them may be
	 * deleted.
	 *
	 * @param requests the requests
	 */
	record Recorded(List<RequestId> requests) implements Frame {
	}

	/**
	 * Template revisions, for receivers that have older ones.
	 *
	 * @param revisions the revisions
	 */
	record Templates(List<TemplateRevision> revisions) implements Frame {
	}

	/**
	 * The revisions in force on the sender.
	 *
	 * @param revisions the number of the revision by template
	 */
	record InForce(Map<TemplateName, Long> revisions) implements Frame {
	}

	/**
	 * A request was running when a backend server crashed.
	 *
	 * @param suspicion the crash evidence against its content
	 */
	record Suspect(SuspectContent suspicion) implements Frame {
	}

	/**
	 * A version is halted and gets no new work.
	 *
	 * @param halt the halt
	 */
	record Halted(Halt halt) implements Frame {
	}

	/**
	 * A frame of a kind that this program does not know.
	 */
	record Unknown() implements Frame {
	}

}
