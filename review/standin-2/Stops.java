import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

/** SIGTERM comes twice, some seconds apart, while consumers go on with orders. */
final class Stops {

	private static final int GRACE_MILLIS = 8000;

	/** When SIGTERM comes again after the first. */
	private static final int SECOND_MILLIS = 4000;

	/** Requests that were sent sooner after a SIGTERM may be cut at the end of graceS. */
	private static final int EXCUSED_MILLIS = 3000;

	private static final int CONSUMERS = 40;

	public static void main(String[] args) {
		Bed.main(args[0], Stops::run);
	}

	private static int run(Bed bed) throws Exception {
		Bed.Store store = new Bed.Store();
		List<Bed.Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			replicas.add(new Bed.Replica("i-larder-" + i, "larder", "winnipeg-a"));
		}
		store.put("op/config", Bed.config(1, Bed.routes()));
		for (Bed.Replica each : replicas) {
			each.workMillis = 100;
			store.put("servers/" + each.id, each.entry("ready", 1));
		}
		Bed.Gateway gateway = bed.new Gateway(Bed.Site.CRUMBSHARE, "front-winnipeg-a-1", store);
		gateway.start();
		if (!gateway.awaitReady(20_000)) {
			return 2;
		}
		ConcurrentLinkedQueue<Bed.Seen> seen = new ConcurrentLinkedQueue<>();
		List<Thread> threads = new ArrayList<>();
		long until = Bed.now() + 16_000;
		for (int i = 0; i < CONSUMERS; i++) {
			int number = i;
			Random random = new Random(i);
			threads.add(Thread.ofVirtual().start(() -> {
				try (Bed.Consumer consumer = new Bed.Consumer(gateway.front)) {
					for (int n = 0; Bed.now() < until; n++) {
						String id = String.format("order-%02d-%04d", number, n);
						seen.add(consumer.call("POST", "/order/1", id, 2000, "", "butter".getBytes()));
						Bed.sleep(20 + random.nextInt(60));
					}
				}
			}));
		}
		Bed.sleep(5000);
		long first = Bed.now();
		gateway.signal("TERM");
		long last = first;
		if (Bed.trouble()) {
			Bed.sleep(SECOND_MILLIS);
			last = Bed.now();
			gateway.signal("TERM");
		}
		Bed.sleep(first + GRACE_MILLIS - Bed.now());
		bed.note("graceS is over, the gateway's process is " + (gateway.process.isAlive() ? "there" : "gone"));
		gateway.process.destroyForcibly();
		for (Thread each : threads) {
			each.join();
		}
		bed.record(seen, replicas);
		Set<String> ran = new HashSet<>();
		replicas.forEach((each) -> ran.addAll(each.runs));
		long excusedUntil = last + EXCUSED_MILLIS;
		List<Bed.Seen> lost = seen.stream()
			.filter((each) -> !each.isAnswered() && ran.contains(each.id()) && each.sentAt() > excusedUntil)
			.toList();
		lost.forEach((each) -> bed.note("ran, " + (each.sentAt() - first) + " ms after the first SIGTERM: " + each));
		bed.note(seen.size() + " orders, " + seen.stream().filter((each) -> each.status() == 200).count()
				+ " answered with 200, " + lost.size() + " ran and got no answer");
		gateway.noteLog("\"stopping\"|\"stopped\"|stopped with work left", 5);
		return lost.isEmpty() ? 0 : 1;
	}

}
