import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** The configuration grows by many routes, and the tenants' consumers use them. */
final class Routes {

	/** Routes that are added. */
	private static final int ADDED = 350;

	private static final int TENANTS = 10;

	private static final int CONSUMERS = 20;

	private static final long LENGTH_MILLIS = 50_000;

	/** Together 38 requests a second, as on the sheet. */
	private static final long READ_PAUSE_MILLIS = 800;

	private static final long BYSTANDER_PAUSE_MILLIS = 770;

	public static void main(String[] args) {
		Bed.main(args[0], Routes::run);
	}

	private static int run(Bed bed) throws Exception {
		Bed.Store store = new Bed.Store();
		List<Bed.Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			replicas.add(new Bed.Replica("i-dispatch-" + i, "larder", "tacoma-a"));
		}
		List<String> routes = new ArrayList<>(Bed.routes(3000));
		store.put("op/config", Bed.config(1, TENANTS, routes));
		replicas.forEach((each) -> store.put("servers/" + each.id, each.entry("ready", 1)));
		Bed.Gateway gateway = bed.new Gateway(Bed.Site.HALVORSEN, "front-tacoma-a-1", store);
		gateway.start();
		if (!gateway.awaitReady(20_000)) {
			return 2;
		}
		for (int i = 0; i < ADDED; i++) {
			routes.add(Bed.route("r-more" + i, "/lohu" + i + "/", "safe", "larder", 3000, 500, 2, ""));
		}
		store.put("op/config", Bed.config(2, TENANTS, routes));
		bed.note(ADDED + " routes were added");
		Bed.sleep(4000);
		Bed.Bystanders bystanders = new Bed.Bystanders(gateway.front, 10, 3000, BYSTANDER_PAUSE_MILLIS,
				Bed.now() + LENGTH_MILLIS);
		long until = Bed.now() + LENGTH_MILLIS;
		AtomicInteger next = new AtomicInteger();
		Collection<Bed.Seen> reads = new ConcurrentLinkedQueue<>();
		List<Thread> threads = new ArrayList<>();
		for (int c = 0; c < CONSUMERS; c++) {
			threads.add(Thread.ofVirtual().start(() -> {
				try (Bed.Consumer consumer = new Bed.Consumer(gateway.front)) {
					while (Bed.now() < until) {
						int n = next.getAndIncrement();
						String path = Bed.trouble() ? "/lohu" + n / TENANTS % ADDED + "/1" : "/stock/1";
						consumer.key = Bed.key(n % TENANTS);
						Bed.Seen seen = consumer.call("GET", path, "read-" + n, 6000, "", new byte[0]);
						reads.add(seen);
						if (n % 200 == 0) {
							bed.note(seen.toString());
						}
						Bed.sleep(READ_PAUSE_MILLIS);
					}
				}
			}));
		}
		for (Thread each : threads) {
			each.join();
		}
		bystanders.join();
		boolean broken = bystanders.isBroken(bed, reads);
		bed.record(bystanders.seen, replicas);
		bed.record(reads, List.of());
		bed.note("requests of ten tenants on " + (Bed.trouble() ? ADDED + " added routes: " : "one route: ") + next.get()
				+ ", answered with 200: " + reads.stream().filter((each) -> each.status() == 200).count());
		gateway.noteLog("OutOfMemoryError|stood still", 5);
		bed.note("the gateway's process is " + (gateway.process.isAlive() ? "there" : "gone") + ", it answers the platform's question with "
				+ gateway.ready() + " (0: not at all)");
		return broken ? 1 : 0;
	}

}
