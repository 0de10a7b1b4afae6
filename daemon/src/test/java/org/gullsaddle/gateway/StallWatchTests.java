package org.gullsaddle.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StallWatchTests {

	private final StallWatch watch = new StallWatch();

	/**
	 * A node is frozen for three seconds in the middle of a stream, whose events have
	 * come meanwhile and lie unread. On its first look it took the replica as
	 * unresponsive and had the stream run anew elsewhere.
	 */
	@Test
	void silenceWhileTheProcessStoodStillDoesNotCount() {
		this.watch.look(1000);
		assertThat(this.watch.look(4000)).isEqualTo(3000);
		assertThat(this.watch.silentSince(990)).isEqualTo(4000);
		assertThat(this.watch.silentSince(4100)).isEqualTo(4100);
	}

	@Test
	void looksThatAreALittleLateAreNoStandstill() {
		this.watch.look(1000);
		assertThat(this.watch.look(1300)).isZero();
		assertThat(this.watch.silentSince(990)).isEqualTo(990);
	}

}
