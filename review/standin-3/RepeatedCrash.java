import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One request crashes each replica that runs it, some time after the run began, and comes
 * again every 1.5 seconds. The replica resets its channels, or goes dark. Counts its repeats that reach a replica later than
 * {@code contactMs} after the third crash.
 */
final class RepeatedCrash {

	private static final int ENGINES = 8;

	private static final long LENGTH_MILLIS = 40_000;

	private static final long REPEAT_MILLIS = 1500;

	private static final long OTHERS_MILLIS = 200;

	/** Repeats that the rule allows. */
	private static final int ALLOWED = 3;

	private static final byte[] POISON = "poison".getBytes(StandardCharsets.US_ASCII);

	private RepeatedCrash() {
	}

	public static void main(String[] args) throws IOException, InterruptedException {
		Bed bed = new Bed(Path.of(args[0]));
		try {
			run(bed, new Replica.Crash(Long.parseLong(args[1]), args[2].equals("silent")));
		}
		catch (IOException ex) {
			bed.log("could not run: " + ex.getMessage());
			bed.close();
			System.exit(Bed.COULD_NOT_RUN);
		}
	}

	private static void run(Bed bed, Replica.Crash crash) throws IOException, InterruptedException {
		AtomicInteger arrivals = new AtomicInteger();
		AtomicLong thirdAt = new AtomicLong(Long.MAX_VALUE);
		Set<String> late = ConcurrentHashMap.newKeySet();
		for (int i = 1; i <= ENGINES; i++) {
			bed.replica("i-engine-" + i, "engines").onArrival((request) -> {
				if (!new String(request.body(), StandardCharsets.US_ASCII).equals("poison")) {
					return Replica.Crash.NONE;
				}
				// Each of its runs crashes, so that the fourth run comes after the third crash.
				int count = arrivals.incrementAndGet();
				if (count == ALLOWED) {
					thirdAt.set(bed.now() + crash.afterMillis());
				}
				if (bed.now() > thirdAt.get() + Bed.CONTACT_MILLIS) {
					late.add(request.header("Gullsaddle-Attempt-Id"));
				}
				return bed.trouble ? crash : Replica.Crash.NONE;
			});
		}
		bed.start(Bed.config(1, "[{\"name\":\"bakers\",\"apiKeys\":[\"key-of-bakers\"],\"priority\":1}]"));
		AtomicInteger served = new AtomicInteger();
		AtomicInteger others = new AtomicInteger();
		long until = bed.now() + LENGTH_MILLIS;
		Thread.ofVirtual().start(() -> repeatPoison(bed, until));
		for (int i = 1; bed.now() < until; i++) {
			int number = i;
			Thread.ofVirtual().start(() -> {
				others.incrementAndGet();
				int status = bed.send("other-" + number, "POST", "/ask/now", headers("c" + number),
						("other " + number).getBytes(StandardCharsets.US_ASCII));
				served.addAndGet((status == 200) ? 1 : 0);
			});
			Thread.sleep(OTHERS_MILLIS);
		}
		Thread.sleep(Bed.ROUTE_TIMEOUT_MILLIS);
		String summary = "runs of the request: %d; repeats that reached a replica later than %d ms after its third crash: %d, allowed %d; others served: %d of %d"
			.formatted(arrivals.get(), Bed.CONTACT_MILLIS, bed.trouble ? late.size() : 0, ALLOWED, served.get(),
					others.get());
		if (!bed.trouble && served.get() < others.get()) {
			throw new IOException("not all requests were served without the disruption: " + summary);
		}
		bed.finish(bed.trouble && late.size() > ALLOWED, summary);
	}

	private static void repeatPoison(Bed bed, long until) {
		try {
			for (int i = 1; bed.now() < until; i++) {
				bed.send("poison-" + i, "POST", "/ask/now", headers("5c1e"), POISON);
				Thread.sleep(REPEAT_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> headers(String ownPart) {
		return Map.of("Gullsaddle-Key", "key-of-bakers", "Gullsaddle-Deadline-Ms", "5000", "Gullsaddle-Model", "m0",
				"Gullsaddle-Token-Usage", "120,160", "Gullsaddle-Prompt-Prefix", "aa:80," + ownPart + ":40");
	}

}
