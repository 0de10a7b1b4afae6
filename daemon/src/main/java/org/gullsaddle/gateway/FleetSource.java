package org.gullsaddle.gateway;

import java.util.List;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.fleet.FleetChange;

/**
 * Source of the platform's information about the deployment. Calls fail with a
 * {@link org.gullsaddle.store.StoreException}, in particular with a
 * {@link HistoryCompactedException} if changes were missed.
 */
public interface FleetSource {

	/**
	 * Reads the whole current state.
	 * @return the current state as changes
	 */
	Single<Update> readAll();

	/**
	 * Waits for changes.
	 * @param after the revision up to which changes are known
	 * @param waitMillis how long to wait for the first change, in milliseconds
	 * @return the changes in order, possibly none
	 */
	Single<Update> awaitChanges(long after, long waitMillis);

	/**
	 * Reads the current configuration, soon or not at all.
	 * @return the configuration, empty if there is none yet
	 */
	Single<List<FleetChange>> readConfig();

	/**
	 * Changes of the deployment up to a revision.
	 *
	 * @param changes the changes in order
	 * @param revision the revision of the last change
	 */
	record Update(List<FleetChange> changes, long revision) {

		/**
		 * Copies the changes.
		 */
		public Update {
			changes = List.copyOf(changes);
		}

	}

}
