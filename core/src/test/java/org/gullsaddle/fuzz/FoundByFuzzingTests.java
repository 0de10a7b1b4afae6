package org.gullsaddle.fuzz;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Regression tests: shrunk scenarios in which fuzzing found a broken guarantee.
 */
class FoundByFuzzingTests {

	private static void assertGuaranteesHold(String scenario) {
		assertThat(Step.replay(new SimulatedCluster(), scenario).settleAndCheck()).isEmpty();
	}

	/**
	 * Guards against a served request without a bill: its entry and its agent, the only
	 * holders of its record, are both killed before the store has the record.
	 */
	@Test
	void recordSurvivesTheLossOfItsEntryAndItsAgent() {
		assertGuaranteesHold(
				"DELIVER 597, KILL_AGENT 598, DELIVER 469, DELIVER 203, SEND 477, DELIVER 514, DELIVER 134, DELIVER 396,"
						+ "PROGRESS 492, DELIVER 879, DELIVER 318, DELIVER 288, ORDER 526, DELIVER 182, DELIVER 297, ORDER 541,"
						+ "KILL_AGENT 132, DELIVER 743, DELIVER 653, PROGRESS 743, PROGRESS 290, DELIVER 49, PROGRESS 380,"
						+ "DELIVER 226, DELIVER 215, PROGRESS 956, DELIVER 909, DELIVER 264, DELIVER 737, DELIVER 803,"
						+ "PROGRESS 215, PROGRESS 209, DELIVER 254, DELIVER 343, DELIVER 815, KILL_AGENT 830, KILL_ENTRY 861");
	}

	/**
	 * Guards against a session with two versions. Its first request arrives while the
	 * store does not answer one entry; a template change reaches the other entry, which
	 * serves the second request. Each entry chose a version by itself.
	 */
	@Test
	void sessionKeepsItsVersionWhileTheStoreDoesNotAnswerOneEntry() {
		assertGuaranteesHold(
				"CHANGE 957, ORDER 948, STORE 891, SEND 946, ORDER 339, PAUSE 31, STORE 903, STORE 525, HEAR 481,"
						+ "SEND 241");
	}

	/**
	 * Guards against concurrent runs of suspect content. A request crashes its backend
	 * server and is retried alone; its caller disconnects and the same content is sent
	 * again at once. Both copies ran, each alone, and crashed two more backend servers.
	 */
	@Test
	void suspectContentRunsOnceAtATime() {
		assertGuaranteesHold(
				"ORDER 28, DELIVER 195, SEND 299, DELIVER 759, ORDER 186, DELIVER 623, DELIVER 327, SEND 801,"
						+ "PROGRESS 468, ORDER 691, SEND 492, KILL_AGENT 936, CALLER_LEAVES 457, SEND 989");
	}

	/**
	 * Guards against lost crash evidence. The entry that first received it is killed and
	 * restarted, and the agent that saw the crash is killed too. The new entry did not
	 * ask its peers and ran the content again.
	 */
	@Test
	void crashEvidenceSurvivesTheNodesThatReceivedItFirst() {
		assertGuaranteesHold(
				"SEND 502, SEND 842, SEND 492, DELIVER 820, DELIVER 748, DELIVER 139, DELIVER 439, KILL_ENTRY 658,"
						+ "DELIVER 436, DELIVER 180, SEND 92, DELIVER 96, PROGRESS 369, DELIVER 863, KILL_AGENT 987,"
						+ "KILL_ENTRY 68, SEND 230");
	}

	/**
	 * Guards against running blocked content. A request waits for its session's version
	 * while its content crashes two backend servers. The content was checked only on
	 * arrival, and crashed a third.
	 */
	@Test
	void contentBlockedWhileARequestWaitsIsNotRun() {
		assertGuaranteesHold(
				"DELIVER 826, DELIVER 76, DELIVER 466, SEND 156, DELIVER 625, DELIVER 368, SEND 211, DELIVER 93,"
						+ "DELIVER 950, DELIVER 535, DELIVER 542, DELIVER 455, SEND 529, DELIVER 250, DELIVER 136,"
						+ "DELIVER 978, DELIVER 818, PROGRESS 234, DELIVER 912, DELIVER 573, DELIVER 454, DELIVER 616,"
						+ "PROGRESS 302, SEND 851, DELIVER 440, DELIVER 868, DELIVER 751, DELIVER 744");
	}

	/**
	 * Guards against a lost record of a repeated answer. An at-most-once call is sent
	 * again after it has run, and gets the first answer. No agent takes part, so that
	 * only the entry holds the second request's record; the entry is killed before the
	 * store has it. The caller was served, and no record of the second request was left.
	 */
	@Test
	void recordOfARepeatedAnswerSurvivesTheLossOfItsEntry() {
		assertGuaranteesHold("DELIVER 702,SEND 513,DELIVER 995,PAUSE 756,DELIVER 298,DELIVER 223,ADVANCE 766,"
				+ "ORDER 455,DELIVER 791,SEND 236,DELIVER 310,SEND 919,STORE 320,DELIVER 239,STORE 620,"
				+ "DELIVER 76,DELIVER 346,DELIVER 325,DELIVER 752,ORDER 860,DELIVER 604,DELIVER 564,"
				+ "PAUSE 914,DELIVER 691,DELIVER 828,PROGRESS 659,DELIVER 978,PROGRESS 926,DELIVER 644,"
				+ "PROGRESS 809,STORE 308,DELIVER 299,PROGRESS 446,DELIVER 978,PROGRESS 224,DELIVER 78,"
				+ "PROGRESS 998,PAUSE 917,DELIVER 330,PROGRESS 428,DELIVER 683,DELIVER 551,SEND 690,"
				+ "ADVANCE 223,DELIVER 17,DELIVER 530,DELIVER 932,STORE 843,DELIVER 824,STORE 710,STORE 62,"
				+ "ORDER 75,STORE 254,KILL_ENTRY 826");
	}

}
