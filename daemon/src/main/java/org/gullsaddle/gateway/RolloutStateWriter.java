package org.gullsaddle.gateway;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;

/**
 * Where the operators read how far a roll-out has come.
 */
public interface RolloutStateWriter {

	/**
	 * Writes a state.
	 * @param order the roll-out
	 * @param state its state
	 * @param expectedRevision the revision of the state before, 0 if there was none
	 * @return whether it was written; false if another node was first
	 */
	Single<Boolean> write(RolloutOrder order, RolloutState state, long expectedRevision);

}
