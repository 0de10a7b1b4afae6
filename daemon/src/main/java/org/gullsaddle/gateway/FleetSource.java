package org.gullsaddle.gateway;

import java.util.List;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.fleet.FleetChange;

/**
 * Tells what the platform knows of the deployment. Failures are
 * {@link org.gullsaddle.store.StoreException}s, and {@link HistoryCompactedException} if
 * changes were missed.
 */
public interface FleetSource {

	/**
	 * Reads everything.
	 * @return what stands now
	 */
	Single<Update> readAll();

	/**
	 * Waits for changes.
	 * @param after the revision up to which changes are known
	 * @param waitMillis how long to wait for the first, in milliseconds
	 * @return the changes in their order, none if there were none
	 */
	Single<Update> awaitChanges(long after, long waitMillis);

	/**
	 * Reads the configuration that stands now, on a new connection.
	 * @return the configuration, none if there is none yet
	 */
	Single<List<FleetChange>> readConfig();

	/**
	 * Things that the platform told.
	 *
	 * @param changes the changes in their order
	 * @param revision the revision up to which they go
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
