import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The store is down twice, one and a half seconds apart. A replica that is leaving without
 * a report removes its entry at once after the store's return. Counts the requests that
 * reach it later than {@code drainMs} after the gateway has read the removal. The replica
 * serves on for five seconds and then exits.
 */
final class TwoOutages {

	private static final long FIRST_MILLIS = 4500;

	private static final long UP_MILLIS = 1500;

	private static final long SECOND_MILLIS = 4500;

	private static final long PAUSE_MILLIS = 40;

	private static final long WORK_MILLIS = 250;

	private static final long EXIT_MILLIS = 5000;

	private TwoOutages() {
	}

	public static void main(String[] args) throws IOException, InterruptedException {
		Bed bed = new Bed(Path.of(args[0]));
		try {
			run(bed);
		}
		catch (IOException ex) {
			bed.log("could not run: " + ex.getMessage());
			bed.close();
			System.exit(Bed.COULD_NOT_RUN);
		}
	}

	private static void run(Bed bed) throws IOException, InterruptedException {
		AtomicLong removal = new AtomicLong(-1);
		AtomicInteger late = new AtomicInteger();
		AtomicLong readAt = new AtomicLong();
		Replica leaving = bed.replica("i-desk-1", "desk");
		leaving.onArrival((request) -> {
			long told = bed.store.toldAt(removal.get());
			if (told > 0 && readAt.compareAndSet(0, told)) {
				bed.log("the gateway has read that the entry is removed");
			}
			if (told > 0 && System.nanoTime() - told > 1_000_000 * Bed.DRAIN_MILLIS) {
				late.incrementAndGet();
				bed.log("late: " + request.header("Gullsaddle-Attempt-Id"));
			}
			return Replica.Crash.NONE;
		});
		leaving.work(WORK_MILLIS);
		bed.replica("i-desk-2", "desk").work(WORK_MILLIS);
		bed.start(Bed.config(1, "[{\"name\":\"bakers\",\"apiKeys\":[\"key-of-bakers\"],\"priority\":1}]"));
		AtomicInteger served = new AtomicInteger();
		AtomicInteger sent = new AtomicInteger();
		Thread load = Thread.ofVirtual().start(() -> load(bed, sent, served));
		Thread.sleep(3000);
		outage(bed, FIRST_MILLIS);
		// Its heartbeat and then its removal, both written by itself, not by a lapse.
		bed.store.put(leaving.key(), leaving.entry());
		leaving.unlist();
		removal.set(bed.store.remove(leaving.key()));
		bed.log("entry of " + leaving.id() + " written and then removed");
		bed.after(EXIT_MILLIS, () -> {
			leaving.end();
			bed.log("exited " + leaving.id());
		});
		Thread.sleep(UP_MILLIS);
		outage(bed, SECOND_MILLIS);
		Thread.sleep(2000);
		load.interrupt();
		load.join();
		Thread.sleep(500);
		bed.finish(late.get() > 0 || served.get() < sent.get() && !bed.trouble,
				"removal read: %s; requests that reached the replica later than %d ms after that: %d; served: %d of %d"
					.formatted(bed.store.toldAt(removal.get()) > 0, Bed.DRAIN_MILLIS, late.get(), served.get(), sent.get()));
	}

	private static void outage(Bed bed, long millis) throws InterruptedException {
		if (bed.trouble) {
			bed.log("store down");
			bed.store.down(true);
		}
		Thread.sleep(millis);
		if (bed.trouble) {
			bed.store.down(false);
			bed.log("store back");
		}
	}

	private static void load(Bed bed, AtomicInteger sent, AtomicInteger served) {
		try {
			for (int i = 1;; i++) {
				int number = i;
				Thread.ofVirtual().start(() -> {
					sent.incrementAndGet();
					int status = bed.send("order-" + number, "POST", "/order/butter",
							Map.of("Gullsaddle-Key", "key-of-bakers", "Gullsaddle-Deadline-Ms", "4000"), new byte[] { 'x' });
					served.addAndGet((status == 200) ? 1 : 0);
				});
				Thread.sleep(PAUSE_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
