package org.gullsaddle.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.base.Json;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.store.Store;
import org.gullsaddle.store.StoreException;
import org.gullsaddle.telemetry.NodeClock;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.TemplateTable;

/**
 * Holds the templates in force, learned from the store and from peers, and changes them
 * by compare-and-swap. Thread-safe.
 */
public final class TemplateController {

	private static final Logger LOG = LoggerFactory.getLogger(TemplateController.class);

	private static final long RETRY_DELAY_MILLIS = 500;

	private static final int MAX_TEMPLATES = 10_000;

	private static final int MAX_VERIFY_ATTEMPTS = 5;

	private final Store store;

	private final String prefix;

	private final NodeClock clock;

	private final TemplateTable table = new TemplateTable();

	private final List<Consumer<TemplateRevision>> listeners = new CopyOnWriteArrayList<>();

	private volatile long lastStoreAnswerMillis = Long.MIN_VALUE;

	/**
	 * Creates a controller without templates.
	 * @param store the store
	 * @param prefix the prefix of the system's keys
	 * @param clock the node's clocks
	 */
	public TemplateController(Store store, String prefix, NodeClock clock) {
		this.store = store;
		this.prefix = prefix;
		this.clock = clock;
	}

	/**
	 * Adds a listener for each revision that comes into force on this node.
	 * @param listener the listener; calls are serialized
	 */
	public void addListener(Consumer<TemplateRevision> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Applies a revision if it is newer than the one in force.
	 * @param revision the revision
	 * @return true if it is now in force
	 */
	public synchronized boolean apply(TemplateRevision revision) {
		if (!this.table.apply(revision)) {
			return false;
		}
		LOG.atInfo()
			.addKeyValue("template", revision.template().name())
			.addKeyValue("revision", revision.revision())
			.log("template in force");
		this.listeners.forEach((listener) -> listener.accept(revision));
		return true;
	}

	/**
	 * Returns the templates in force.
	 * @return a snapshot
	 */
	public synchronized Map<TemplateName, TemplateRevision> allTemplates() {
		return this.table.snapshot();
	}

	/**
	 * Returns the revision numbers in force.
	 * @return a snapshot, by template
	 */
	public synchronized Map<TemplateName, Long> revisionNumbers() {
		Map<TemplateName, Long> numbers = new HashMap<>();
		this.table.snapshot().forEach((name, revision) -> numbers.put(name, revision.revision()));
		return numbers;
	}

	/**
	 * Returns a template in force.
	 * @param name its name
	 * @return its revision, or empty if there is none
	 */
	public synchronized Optional<TemplateRevision> find(TemplateName name) {
		return this.table.find(name);
	}

	/**
	 * Returns the time since the store last answered.
	 * @return milliseconds; {@link Long#MAX_VALUE} if it never has
	 */
	public long storeAgeMillis() {
		long lastAnswer = this.lastStoreAnswerMillis;
		return (lastAnswer == Long.MIN_VALUE) ? Long.MAX_VALUE : this.clock.millis() - lastAnswer;
	}

	/**
	 * Reads the templates once.
	 * @return the store revision of the reading
	 */
	public Single<Long> load() {
		return this.store.list(templatesPrefix(), "", MAX_TEMPLATES).map((listing) -> {
			onStoreAnswer();
			listing.values().forEach(this::applyStored);
			return listing.revision();
		});
	}

	/**
	 * Reads and watches the templates until cancelled.
	 * <p>
	 * A broken watch cannot be told from one without changes. The store is therefore also
	 * read on each tick, which bounds how long a missed change stays unseen and shows how
	 * fresh the configuration is.
	 * @param ticks emits an item to start each reading
	 * @return a completable that never completes
	 */
	public Completable run(Flowable<?> ticks) {
		Completable watch = load().flatMapPublisher((revision) -> this.store.watch(templatesPrefix(), revision + 1))
			.doOnNext(this::applyStored)
			.ignoreElements()
			.doOnError((failure) -> LOG.atDebug().addKeyValue("reason", failure.getMessage()).log("watch broken"))
			.onErrorComplete()
			.delay(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS)
			.repeat();
		Completable read = ticks.onBackpressureDrop()
			.concatMapCompletable((tick) -> load().ignoreElement().onErrorComplete());
		return Completable.mergeArray(watch, read);
	}

	/**
	 * Changes a template.
	 * @param template the template
	 * @param yaml the template's YAML text
	 * @param expected the number of the revision that the change was made from, 0 for a
	 * new template
	 * @param author the author of the change
	 * @return the new revision; a {@link ConflictException} if the template has another
	 * revision, a {@link StoreException} if the outcome is unknown
	 */
	public Single<TemplateRevision> change(Template template, String yaml, long expected, String author) {
		TemplateRevision next = new TemplateRevision(expected + 1, UUID.randomUUID().toString(), author,
				this.clock.wallMillis(), yaml, template);
		return readStored(template.name()).flatMap((stored) -> write(next, stored, expected)).doOnSuccess(this::apply);
	}

	/**
	 * Returns a template's past and current revisions from the store.
	 * @param name the template
	 * @param limit the maximum number
	 * @return the revisions, oldest first
	 */
	public Single<List<TemplateRevision>> history(TemplateName name, int limit) {
		return this.store.list(this.prefix + "history/" + name + "/", "", limit).map((listing) -> {
			List<TemplateRevision> revisions = new ArrayList<>();
			for (Store.StoredValue value : listing.values()) {
				revisions.add(Json.read(value.value(), TemplateRevision.class));
			}
			return revisions;
		});
	}

	private Single<TemplateRevision> write(TemplateRevision next, Optional<StoredTemplate> stored, long expected) {
		long current = stored.map((template) -> template.revision().revision()).orElse(0L);
		if (current != expected) {
			return Single.error(new ConflictException(stored.map(StoredTemplate::revision)));
		}
		TemplateName name = next.template().name();
		String value = Json.write(next);
		List<Store.Put> puts = List.of(new Store.Put(templateKey(name), value),
				new Store.Put(this.prefix + "history/" + name + "/" + String.format("%010d", next.revision()), value));
		return this.store.write(templateKey(name), stored.map(StoredTemplate::storeRevision).orElse(0L), puts)
			.flatMap((revision) -> revision.isPresent() ? Single.just(next) : verifyChange(next))
			.onErrorResumeNext((failure) -> (failure instanceof StoreException lost && lost.unknown())
					? verifyChange(next).onErrorResumeNext((checkFailure) -> Single
						.error((checkFailure instanceof ConflictException) ? checkFailure : failure))
					: Single.error(failure));
	}

	/**
	 * Checks whether a change was stored although its write conflicted or its answer was
	 * lost.
	 * <p>
	 * The history is written in the same transaction and never overwritten, so the change
	 * id is found there even if another operator has since replaced the change.
	 */
	private Single<TemplateRevision> verifyChange(TemplateRevision next) {
		String key = this.prefix + "history/" + next.template().name() + "/" + String.format("%010d", next.revision());
		return this.store.get(key).flatMap((found) -> {
			if (found.isEmpty()) {
				return Single.<TemplateRevision>error(new StoreException("the change was not taken", false, null));
			}
			TemplateRevision stored = Json.read(found.get().value(), TemplateRevision.class);
			return stored.changeId().equals(next.changeId()) ? Single.just(stored)
					: Single.error(new ConflictException(Optional.of(stored)));
		})
			.retryWhen((failures) -> failures
				.zipWith(Flowable.range(1, MAX_VERIFY_ATTEMPTS), (failure, count) -> failure)
				.concatMap((failure) -> (failure instanceof StoreException)
						? Flowable.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS) : Flowable.error(failure))
				.concatWith(Flowable
					.error(new StoreException("the store does not say whether the change was taken", true, null))));
	}

	private Single<Optional<StoredTemplate>> readStored(TemplateName name) {
		return this.store.get(templateKey(name)).map((found) -> {
			if (found.isEmpty()) {
				return Optional.empty();
			}
			return Optional
				.of(new StoredTemplate(Json.read(found.get().value(), TemplateRevision.class), found.get().revision()));
		});
	}

	private void applyStored(Store.StoredValue value) {
		onStoreAnswer();
		try {
			apply(Json.read(value.value(), TemplateRevision.class));
		}
		catch (IOException | IllegalArgumentException ex) {
			LOG.atError()
				.addKeyValue("key", value.key())
				.addKeyValue("reason", ex.getMessage())
				.log("unreadable template skipped");
		}
	}

	private void onStoreAnswer() {
		this.lastStoreAnswerMillis = this.clock.millis();
	}

	private String templatesPrefix() {
		return this.prefix + "templates/";
	}

	private String templateKey(TemplateName name) {
		return templatesPrefix() + name;
	}

	private record StoredTemplate(TemplateRevision revision, long storeRevision) {
	}

}
