import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Consumers send bodies of the largest size that the configuration allows, at once. */
final class Uploads {

	/** The maxBodyBytes of the configuration. */
	private static final int BODY_BYTES = 4_194_304;

	private static final int UPLOADS = 14;

	private static final long LENGTH_MILLIS = 30_000;

	public static void main(String[] args) {
		Bed.main(args[0], Uploads::run);
	}

	private static int run(Bed bed) throws Exception {
		Bed.Store store = new Bed.Store();
		List<Bed.Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			replicas.add(new Bed.Replica("i-larder-" + i, "larder", "winnipeg-a"));
		}
		store.put("op/config", Bed.config(1, Bed.routes()));
		replicas.forEach((each) -> store.put("servers/" + each.id, each.entry("ready", 1)));
		Bed.Gateway gateway = bed.new Gateway(Bed.Site.CRUMBSHARE, "front-winnipeg-a-1", store);
		gateway.start();
		if (!gateway.awaitReady(20_000)) {
			return 2;
		}
		Bed.Bystanders bystanders = new Bed.Bystanders(gateway.front, 10, 1000, Bed.now() + LENGTH_MILLIS);
		Bed.sleep(5000);
		byte[] body = new byte[BODY_BYTES];
		Arrays.fill(body, (byte) 'b');
		Collection<Bed.Seen> large = new ConcurrentLinkedQueue<>();
		List<Thread> uploads = new ArrayList<>();
		for (int i = 0; i < UPLOADS; i++) {
			String id = "upload-" + i;
			Thread upload = Thread.ofVirtual().start(() -> {
				try (Bed.Consumer consumer = new Bed.Consumer(gateway.front)) {
					Bed.Seen one = consumer.call("POST", "/order/large", id, 2000, "", body);
					large.add(one);
					bed.note(one.toString());
				}
			});
			if (Bed.trouble()) {
				uploads.add(upload);
			}
			else {
				upload.join();
			}
		}
		for (Thread each : uploads) {
			each.join();
		}
		bystanders.join();
		boolean broken = bystanders.isBroken(bed, large);
		bed.record(bystanders.seen, replicas);
		bed.record(large, List.of());
		for (Bed.Replica each : replicas) {
			bed.note(each.id + " ran " + each.runs.size() + ", uploads among them: "
					+ each.runs.stream().filter((id) -> id.startsWith("upload")).toList());
		}
		gateway.noteLog("OutOfMemoryError|stood still", 5);
		bed.note("the gateway's process is " + (gateway.process.isAlive() ? "there" : "gone"));
		return broken ? 1 : 0;
	}

}
