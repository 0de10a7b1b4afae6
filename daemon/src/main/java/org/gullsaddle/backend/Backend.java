package org.gullsaddle.backend;

import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.ModelVersion;

/**
 * A client of one backend server.
 */
sealed interface Backend permits EngineBackend, ServiceBackend {

	/**
	 * Runs an attempt. Cancelling the subscription stops it if the backend server
	 * supports that. Failures are {@link BackendException}s.
	 */
	Flowable<BackendEvent> run(Dispatch dispatch);

	/**
	 * Checks that the backend server answers, and returns the versions that it serves.
	 */
	Single<Set<ModelVersion>> probe();

}
