package org.gullsaddle.register;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RegisterShardTests {

	private final RegisterShard shard = new RegisterShard(2, 1000);

	private final List<RegisterAction> actions = new ArrayList<>();

	private long now = 1;

	private void handle(RegisterEvent event) {
		this.actions.addAll(this.shard.handle(this.now, this.now, event));
	}

	private void put(long id, String key, String nonce) {
		handle(new RegisterEvent.Submitted(id, new Operation.Put(key, nonce, "value"), this.now + 500));
	}

	private static Entry entry(String key, String nonce) {
		return new Entry(key, nonce, "value", 1);
	}

	private RegisterAction last() {
		return this.actions.get(this.actions.size() - 1);
	}

	@Test
	void pendingOperationsShareOneWrite() {
		put(1, "a", "n1");
		put(2, "b", "n2");
		handle(new RegisterEvent.Loaded(7, List.of()));
		RegisterAction.Write write = (RegisterAction.Write) last();
		assertThat(write.expectedRevision()).isEqualTo(7);
		assertThat(write.entries()).extracting(Entry::key).containsExactly("a", "b");
		handle(new RegisterEvent.Written(8));
		assertThat(this.actions).filteredOn(RegisterAction.Answer.class::isInstance).hasSize(2);
	}

	/**
	 * Guards against taking this node's own claim for another's when the store accepted
	 * the write and its answer was lost. The nonce of the entry that is read again shows
	 * whose it is.
	 */
	@Test
	void lostAnswerIsResolvedByReadingAgain() {
		put(1, "a", "n1");
		handle(new RegisterEvent.Loaded(0, List.of()));
		handle(new RegisterEvent.WriteUnknown());
		assertThat(last()).isInstanceOf(RegisterAction.Read.class);
		handle(new RegisterEvent.Loaded(1, List.of(entry("a", "n1"))));
		assertThat(last()).isEqualTo(new RegisterAction.Answer(1, entry("a", "n1")));
	}

	@Test
	void conflictReturnsTheOtherNodesEntry() {
		put(1, "a", "n1");
		handle(new RegisterEvent.Loaded(0, List.of()));
		handle(new RegisterEvent.Conflicted());
		handle(new RegisterEvent.Loaded(1, List.of(entry("a", "other"))));
		assertThat(last()).isEqualTo(new RegisterAction.Answer(1, entry("a", "other")));
	}

	/**
	 * Guards against an entry that is left behind when a write's result is unknown and
	 * the store stops answering. The caller gets an unavailable answer at once; the entry
	 * that may exist is removed later.
	 */
	@Test
	void putWithUnknownResultIsRemoved() {
		put(1, "a", "n1");
		handle(new RegisterEvent.Loaded(0, List.of()));
		handle(new RegisterEvent.WriteUnknown());
		handle(new RegisterEvent.ReadFailed());
		assertThat(last()).isEqualTo(new RegisterAction.Unavailable(1));
		this.now += 300;
		handle(new RegisterEvent.Tick());
		handle(new RegisterEvent.Loaded(1, List.of(entry("a", "n1"))));
		assertThat(((RegisterAction.Write) last()).entries()).isEmpty();
	}

	@Test
	void entryReadBeforeTheOperationIsReadAgain() {
		put(1, "a", "n1");
		handle(new RegisterEvent.Loaded(0, List.of(entry("b", "other"))));
		handle(new RegisterEvent.Written(2));
		put(2, "b", "n2");
		assertThat(last()).isInstanceOf(RegisterAction.Read.class);
		handle(new RegisterEvent.Loaded(3, List.of(entry("a", "n1"))));
		assertThat(((RegisterAction.Write) last()).entries()).extracting(Entry::key).containsExactly("a", "b");
	}

	@Test
	void fullShardAcceptsNoPut() {
		put(1, "a", "n1");
		handle(new RegisterEvent.Loaded(1, List.of(entry("x", "n"), entry("y", "n"))));
		assertThat(last()).isEqualTo(new RegisterAction.Unavailable(1));
	}

	@Test
	void expiredEntriesFreeCapacity() {
		this.now = 2000;
		put(1, "a", "n1");
		handle(new RegisterEvent.Loaded(1, List.of(entry("x", "n"), entry("y", "n"))));
		assertThat(((RegisterAction.Write) last()).entries()).extracting(Entry::key).containsExactly("a");
	}

	@Test
	void onlyTheOwnerChangesItsEntry() {
		handle(new RegisterEvent.Submitted(1, new Operation.Update("a", "stranger", "mine"), Long.MAX_VALUE));
		handle(new RegisterEvent.Loaded(1, List.of(entry("a", "n1"))));
		assertThat(last()).isEqualTo(new RegisterAction.Answer(1, entry("a", "n1")));
	}

}
