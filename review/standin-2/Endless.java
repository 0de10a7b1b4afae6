import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One replica answers some requests with bytes without end. */
final class Endless {

	/** How many requests it answers so. */
	private static final int ENDLESS = 4;

	private static final int READERS = 8;

	private static final long LENGTH_MILLIS = 30_000;

	private static final AtomicLong BYTES = new AtomicLong();

	public static void main(String[] args) {
		Bed.main(args[0], Endless::run);
	}

	private static int run(Bed bed) throws Exception {
		Bed.Store store = new Bed.Store();
		List<Bed.Replica> replicas = new ArrayList<>();
		for (int i = 0; i < 2; i++) {
			replicas.add(new Bed.Replica("i-larder-" + i, "larder", "winnipeg-a"));
			replicas.add(new Engine("i-bakers-" + i, (i == 0 && Bed.trouble()) ? ENDLESS : 0));
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
		Collection<Bed.Seen> plans = new ConcurrentLinkedQueue<>();
		List<Thread> readers = new ArrayList<>();
		for (int i = 0; i < READERS; i++) {
			String id = "plan-" + i;
			readers.add(Thread.ofVirtual().start(() -> {
				try (Bed.Consumer reader = new Bed.Consumer(gateway.front)) {
					Bed.Seen one = reader.call("POST", "/plan/1", id, 15_000, "Gullsaddle-Model: *\r\nGullsaddle-Token-Usage: 120,20\r\n"
							+ "Gullsaddle-Prompt-Prefix: aa:80,bb:40\r\n", "x".getBytes());
					plans.add(one);
					bed.note(one.toString());
				}
			}));
		}
		for (Thread each : readers) {
			each.join();
		}
		bystanders.join();
		boolean broken = bystanders.isBroken(bed);
		bed.record(bystanders.seen, replicas);
		bed.record(plans, List.of());
		bed.note("bytes without end that were sent: " + BYTES.get());
		for (Bed.Replica each : replicas) {
			bed.note(each.id + " ran " + each.runs.size());
		}
		gateway.noteLog("OutOfMemoryError|stood still", 5);
		bed.note("the gateway's process is " + (gateway.process.isAlive() ? "there" : "gone"));
		return broken ? 1 : 0;
	}

	/** Replica of a model. */
	private static final class Engine extends Bed.Replica {

		private final AtomicInteger endless;

		Engine(String id, int endless) throws IOException {
			super(id, "bakers", "winnipeg-a");
			this.endless = new AtomicInteger(endless);
		}

		@Override
		boolean run(Bed.Head head, byte[] body, Socket socket) throws IOException {
			OutputStream out = socket.getOutputStream();
			if (this.endless.getAndDecrement() > 0) {
				byte[] rubbish = "x".repeat(65_536).getBytes();
				out.write(("HTTP/1.1 200 OK\r\n" + fields(head) + "Content-Type: text/event-stream\r\n\r\n").getBytes());
				while (true) {
					out.write(rubbish);
					BYTES.addAndGet(rubbish.length);
				}
			}
			out.write(("HTTP/1.1 200 OK\r\n" + fields(head) + "Gullsaddle-Confidence: 95\r\n"
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes());
			for (int i = 1; i <= 10; i++) {
				String event = "id: " + i + "\ndata: piece " + i + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
				Bed.sleep(50);
			}
			out.write("0\r\n\r\n".getBytes());
			return true;
		}

	}

}
