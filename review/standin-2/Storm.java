import java.util.ArrayList;
import java.util.List;

/** A configuration of many routes changes in quick succession; then a replica leaves. */
final class Storm {

	/** Routes that were added, twice 1,400. */
	private static final int ROUTES = 2800;

	private static final int VERSIONS = 25;

	private static final int GAP_MILLIS = 80;

	private static final int DRAIN_MILLIS = 5000;

	private static final long LENGTH_MILLIS = 30_000;

	public static void main(String[] args) {
		Bed.main(args[0], Storm::run);
	}

	private static int run(Bed bed) throws Exception {
		Bed.Store store = new Bed.Store();
		List<Bed.Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			replicas.add(new Bed.Replica("i-larder-" + i, "larder", "tacoma-a"));
		}
		List<String> routes = new ArrayList<>(Bed.routes(3000));
		for (int i = 0; i < ROUTES; i++) {
			routes.add(Bed.route("r-more" + i, "/lohu" + i + "/", "stream", "bakers", 15_000, 4000, 3, Bed.MODELS));
		}
		String config = Bed.config(1, routes);
		bed.note("a configuration of " + config.length() + " bytes");
		store.put("op/config", config);
		replicas.forEach((each) -> store.put("servers/" + each.id, each.entry("ready", 1)));
		Bed.Gateway gateway = bed.new Gateway(Bed.Site.HALVORSEN_LARGE, "front-tacoma-a-1", store);
		gateway.start();
		if (!gateway.awaitReady(20_000)) {
			return 2;
		}
		Bed.Bystanders bystanders = new Bed.Bystanders(gateway.front, 10, 3000, Bed.now() + LENGTH_MILLIS);
		Bed.sleep(8000);
		bed.note("configurations begin");
		for (int n = 0; n < (Bed.trouble() ? VERSIONS : 1); n++) {
			store.put("op/config", Bed.config(2 + n, routes));
			Bed.sleep(GAP_MILLIS);
		}
		bed.note("last configuration confirmed");
		Bed.sleep(1000);
		Bed.Replica leaving = replicas.get(0);
		store.put("servers/" + leaving.id, leaving.entry("draining", 2));
		long at = Bed.now();
		bed.note(leaving.id + " is draining, confirmed");
		bystanders.join();
		boolean broken = bystanders.isBroken(bed);
		bed.record(bystanders.seen, replicas);
		List<Long> after = leaving.arrivals.stream().filter((each) -> each > at + DRAIN_MILLIS).toList();
		bed.note("requests that reached " + leaving.id + " later than " + DRAIN_MILLIS + " ms after that: " + after.size()
				+ (after.isEmpty() ? "" : ", the last " + (after.get(after.size() - 1) - at) + " ms after it"));
		bed.note("largest answer to a watch: " + store.largestWatch.get() + " bytes");
		gateway.noteLog("OutOfMemoryError|stood still|store call failed", 8);
		return broken ? 1 : 0;
	}

}
