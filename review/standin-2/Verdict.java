import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

/** After a completed roll-out of a good version its replicas fail some requests for a while. */
final class Verdict {

	private static final int REPLICAS = 3;

	private static final int DURATION_S = 16;

	/** Share of its requests that each replica fails, and for how long. */
	private static final double GREY_SHARE = 0.45;

	private static final long GREY_MILLIS = 6500;

	private static final long CONTACT_MILLIS = 4000;

	private static final long CONFIG_APPLY_MILLIS = 3000;

	private static final String SERVICE = "larder";

	/** Requests on an added route from which the rule counts. */
	private static final int MIN_ADDED = 20;

	public static void main(String[] args) {
		Bed.main(args[0], Verdict::run);
	}

	private static int run(Bed bed) throws Exception {
		Bed.Store store = new Bed.Store();
		List<Bed.Replica> before = replicas("i-old-", "v1");
		List<Bed.Replica> after = replicas("i-new-", "v2");
		List<Bed.Replica> desks = List.of(new Bed.Replica("i-desk-0", "desk", "winnipeg-a"));
		List<String> routes = new ArrayList<>(Bed.routes());
		routes.add(Bed.route("r-desk", "/desk/", "safe", "desk", 1000, 200, 2, ""));
		store.put("op/config", Bed.config(1, routes));
		before.forEach((each) -> store.put("servers/" + each.id, each.entry("ready", 1)));
		desks.forEach((each) -> store.put("servers/" + each.id, each.entry("ready", 1)));
		Bed.Gateway gateway = bed.new Gateway(Bed.Site.CRUMBSHARE, "front-winnipeg-a-1", store);
		gateway.start();
		if (!gateway.awaitReady(20_000)) {
			return 2;
		}
		long until = Bed.now() + 55_000;
		Collection<Bed.Seen> first = new ConcurrentLinkedQueue<>();
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			int kind = i % 3;
			threads.add(call(gateway, kind == 0 ? "POST" : "GET", List.of("/order/1", "/stock/1", "/desk/1").get(kind),
					List.of("order-", "stock-", "desk-").get(kind) + i, first, until));
		}
		Bed.sleep(2000);
		after.forEach((each) -> store.put("servers/" + each.id, each.entry("ready", 1)));
		store.put("op/rollout/" + SERVICE,
				"{\"service\":\"" + SERVICE + "\",\"target\":\"v2\",\"durationS\":" + DURATION_S + "}");
		bed.note("roll-out of v2 ordered");
		String status = "";
		long deadline = Bed.now() + 1000 * DURATION_S + 2000;
		while (!status.contains("completed") && Bed.now() < deadline) {
			Bed.sleep(20);
			status = store.read("status/rollout/" + SERVICE);
		}
		bed.note("status: " + status);
		if (!status.contains("completed")) {
			return 2;
		}
		before.forEach((each) -> {
			each.close();
			store.remove("servers/" + each.id);
		});
		bed.note("the replicas of v1 have stopped");
		Bed.sleep(CONTACT_MILLIS);
		setFailing(after, Bed.trouble() ? GREY_SHARE : 0);
		bed.note(Bed.trouble() ? "each replica fails " + GREY_SHARE + " of its requests" : "the replicas go on as before");
		Bed.sleep(GREY_MILLIS);
		setFailing(after, 0);
		bed.note("the replicas are sound, they have failed "
				+ after.stream().mapToInt((each) -> ((Grey) each).failed.size()).sum() + " requests");
		Bed.sleep(CONTACT_MILLIS);
		routes.add(Bed.route("r-more", "/more/", "safe", SERVICE, 1000, 200, 2, ""));
		store.put("op/config", Bed.config(2, routes));
		bed.note("route /more/ added, confirmed");
		Bed.sleep(CONFIG_APPLY_MILLIS);
		long steady = Bed.now();
		Collection<Bed.Seen> added = new ConcurrentLinkedQueue<>();
		for (int i = 0; i < 4; i++) {
			threads.add(call(gateway, "GET", "/more/1", "more-" + i, added, until));
		}
		for (Thread each : threads) {
			each.join();
		}
		List<Bed.Replica> all = new ArrayList<>(before);
		all.addAll(after);
		all.addAll(desks);
		bed.record(first, all);
		bed.record(added, List.of());
		List<Bed.Seen> steadyFirst = first.stream().filter((each) -> each.sentAt() > steady).toList();
		for (String each : List.of("order", "stock", "desk")) {
			bed.note(each + ": " + counts(steadyFirst.stream().filter((one) -> one.id().startsWith(each)).toList()));
		}
		bed.note("first routes: " + counts(steadyFirst));
		bed.note("added route: " + counts(added));
		gateway.noteLog("no replica left", 1);
		boolean broken = added.size() >= MIN_ADDED && served(added) < 0.25 * served(steadyFirst);
		return broken ? 1 : 0;
	}

	private static void setFailing(List<Bed.Replica> replicas, double share) {
		replicas.forEach((each) -> ((Grey) each).failing = share);
	}

	private static List<Bed.Replica> replicas(String id, String version) throws IOException {
		List<Bed.Replica> replicas = new ArrayList<>();
		for (int i = 0; i < REPLICAS; i++) {
			replicas.add(new Grey(id + i, version));
		}
		return replicas;
	}

	private static Thread call(Bed.Gateway gateway, String method, String path, String id, Collection<Bed.Seen> seen,
			long until) {
		return Thread.ofVirtual().start(() -> {
			Random random = new Random(id.hashCode());
			try (Bed.Consumer consumer = new Bed.Consumer(gateway.front)) {
				for (int n = 0; Bed.now() < until; n++) {
					seen.add(consumer.call(method, path, id + "-" + n, 2000, "", new byte[0]));
					Bed.sleep(500 + random.nextInt(400));
				}
			}
		});
	}

	private static double served(Collection<Bed.Seen> seen) {
		return seen.stream().filter((each) -> each.status() == 200).count() / (double) seen.size();
	}

	private static String counts(Collection<Bed.Seen> seen) {
		return seen.size() + " requests, answered with 200: " + seen.stream().filter((each) -> each.status() == 200).count()
				+ ", with 503: " + seen.stream().filter((each) -> each.status() == 503).count();
	}

	/** Replica that may fail a share of its requests while it counts as healthy. */
	private static final class Grey extends Bed.Replica {

		private final String version;

		private final Random random = new Random();

		private volatile double failing;

		private final Collection<String> failed = new ConcurrentLinkedQueue<>();

		Grey(String id, String version) throws IOException {
			super(id, SERVICE, "winnipeg-a");
			this.version = version;
		}

		@Override
		String entry(String state, int sequence) {
			return super.entry(state, sequence).replace("\"v1\"", "\"" + this.version + "\"");
		}

		@Override
		boolean run(Bed.Head head, byte[] body, Socket socket) throws IOException {
			if (this.random.nextDouble() < this.failing) {
				Bed.sleep(this.workMillis);
				this.failed.add(head.field("Gullsaddle-Attempt-Id"));
				send(socket, 500, fields(head), "failed".getBytes());
				return true;
			}
			return super.run(head, body, socket);
		}

	}

}
