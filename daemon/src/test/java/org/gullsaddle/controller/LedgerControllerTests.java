package org.gullsaddle.controller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.subjects.SingleSubject;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.NodeClock;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerControllerTests {

	private final SlowStore store = new SlowStore();

	private final List<RequestId> recorded = new CopyOnWriteArrayList<>();

	private final LedgerController ledger = new LedgerController(this.store, "g/", new NodeClock(), "entry-1",
			this.recorded::addAll);

	private RequestId append(String id) {
		RequestId request = new RequestId(id);
		this.ledger.append(new LedgerEntry.RequestEntry(new RequestRecord(request, new TeamId("bakers"),
				new TemplateName("assistant"), null, 1, "none", List.of(), Verdict.RAN, "served", 0, 2)));
		return request;
	}

	/**
	 * Guards against two flushes writing the same segment, when a node stops during a
	 * periodic write to a busy store. The later answer found no write in progress and the
	 * stop failed; if another segment had begun, its records were counted as written and
	 * lost.
	 */
	@Test
	void concurrentFlushesWriteEachRecordOnce() {
		RequestId first = append("r1");
		TestObserver<Void> periodic = this.ledger.flush().test();
		RequestId second = append("r2");
		TestObserver<Void> stop = this.ledger.flush().test();
		assertThat(this.store.writes).hasSize(1);
		this.store.answer(0);
		assertThat(this.recorded).containsExactly(first);
		this.store.answer(1);
		assertThat(this.recorded).containsExactly(first, second);
		periodic.assertComplete();
		stop.assertComplete();
		assertThat(this.store.writes).hasSize(2);
	}

	/**
	 * The periodic write fails while a stop waits for it; the stop then writes the
	 * segment itself.
	 */
	@Test
	void flushAfterFailedFlushWritesPendingRecords() {
		RequestId first = append("r1");
		TestObserver<Void> periodic = this.ledger.flush().test();
		TestObserver<Void> stop = this.ledger.flush().test();
		this.store.writes.get(0).onError(new IllegalStateException("busy"));
		periodic.assertError(IllegalStateException.class);
		this.store.answer(1);
		stop.assertComplete();
		assertThat(this.recorded).containsExactly(first);
	}

	/**
	 * Guards against losing records at a stop because a busy store fails the first write,
	 * although the next write would succeed.
	 */
	@Test
	void flushUntilWrittenRetriesWhileTheStoreFails() {
		RequestId first = append("r1");
		TestObserver<Void> stop = this.ledger.flushUntilWritten().test();
		this.store.writes.get(0).onError(new IllegalStateException("busy"));
		stop.assertNotComplete();
		while (this.store.writes.size() < 2) {
			Thread.onSpinWait();
		}
		this.store.answer(1);
		stop.awaitDone(10, TimeUnit.SECONDS).assertComplete();
		assertThat(this.recorded).containsExactly(first);
	}

	/**
	 * A store whose writes complete when the test calls {@link #answer(int)}.
	 */
	private static final class SlowStore implements Store {

		private final List<SingleSubject<Optional<Long>>> writes = new CopyOnWriteArrayList<>();

		void answer(int write) {
			this.writes.get(write).onSuccess(Optional.of(write + 1L));
		}

		@Override
		public Single<Optional<Long>> write(String guard, long expectedRevision, List<Put> puts) {
			SingleSubject<Optional<Long>> answer = SingleSubject.create();
			this.writes.add(answer);
			return answer;
		}

		@Override
		public Single<Optional<StoredValue>> get(String key) {
			return Single.just(Optional.empty());
		}

		@Override
		public Single<Listing> list(String prefix, String after, int limit) {
			return Single.error(new UnsupportedOperationException("list"));
		}

		@Override
		public Flowable<StoredValue> watch(String prefix, long fromRevision) {
			return Flowable.never();
		}

	}

}
