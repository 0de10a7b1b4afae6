package org.gullsaddle.gateway;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;

/**
 * Writes the state of roll-outs where operators read it.
 */
public interface RolloutStateWriter {

	/**
	 * Writes a state.
	 * @param order the roll-out
	 * @param state its new state
	 * @param expectedRevision the revision of the previous state, 0 if there was none
	 * @return whether it was written; false if another node wrote first
	 */
	Single<Boolean> write(RolloutOrder order, RolloutState state, long expectedRevision);

}
