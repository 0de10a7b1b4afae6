package org.gullsaddle.backend;

import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.ModelVersion;

/**
 * A backend server.
 */
sealed interface Backend permits EngineBackend, ServiceBackend {

	/**
	 * Runs an attempt; cancelling the subscription stops it where the backend server can.
	 * Failures are {@link BackendException}s.
	 */
	Flowable<BackendEvent> run(Dispatch dispatch);

	/**
	 * Asks whether the backend server lives and what it has loaded.
	 */
	Single<Set<ModelVersion>> probe();

}
