package org.gullsaddle.backend;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.wire.Frame;

import static org.assertj.core.api.Assertions.assertThat;

class StatusAnnouncerTests {

	private static final NodeId ENTRY = new NodeId("entry");

	private static final LoadReport IDLE = new LoadReport(0, 0, 8);

	private final StatusAnnouncer announcer = new StatusAnnouncer();

	private final List<Frame> sent = new ArrayList<>();

	private static Frame.Status serving(String... versions) {
		Set<ModelVersion> served = Set.of(versions).stream().map(ModelVersion::of).collect(Collectors.toSet());
		return new Frame.Status(new AgentInfo(new NodeId("agent"), "west", "west-1", served, IDLE), false);
	}

	@Test
	void sendsOnlyTheLoadWhileVersionsAreUnchanged() {
		this.announcer.sendStatus(ENTRY, serving("small@1"), this.sent::add);
		this.announcer.sendChanges(ENTRY, serving("small@1"), this.sent::add);
		assertThat(this.sent).containsExactly(serving("small@1"), new Frame.Load(IDLE));
	}

	@Test
	void sendsTheWholeStatusWhenVersionsChange() {
		this.announcer.sendStatus(ENTRY, serving("small@1"), this.sent::add);
		this.announcer.sendChanges(ENTRY, serving("small@2"), this.sent::add);
		assertThat(this.sent).containsExactly(serving("small@1"), serving("small@2"));
	}

	/**
	 * Guards against an entry that never uses the agent: its link came up during the
	 * first probe, and the status from before the probe arrived last.
	 */
	@Test
	void sendsTheStatusAgainToAnEntryThatReceivedAnOldOneLast() {
		this.announcer.sendChanges(ENTRY, serving("small@1"), this.sent::add);
		this.announcer.sendStatus(ENTRY, serving(), this.sent::add);
		this.announcer.sendChanges(ENTRY, serving("small@1"), this.sent::add);
		assertThat(this.sent).endsWith(serving("small@1"));
	}

	@Test
	void sendsTheWholeStatusToAnEntryThatReconnects() {
		this.announcer.sendStatus(ENTRY, serving("small@1"), this.sent::add);
		this.announcer.onEntryDown(ENTRY);
		this.announcer.sendChanges(ENTRY, serving("small@1"), this.sent::add);
		assertThat(this.sent).endsWith(serving("small@1"));
	}

}
