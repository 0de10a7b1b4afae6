import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A new version of the configuration takes away the last tenant with its keys. Counts the
 * requests that run later than {@code configApplyMs} after its confirmation, though their
 * key was taken away, was never held by any tenant, or is missing.
 */
final class LastTenant {

	private static final long CONFIG_APPLY_MILLIS = 3000;

	private static final int REQUESTS = 20;

	private static final long PAUSE_MILLIS = 100;

	private LastTenant() {
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
		Set<String> ran = ConcurrentHashMap.newKeySet();
		bed.replica("i-desk-1", "desk").onArrival((request) -> {
			ran.add(request.header("Gullsaddle-Attempt-Id"));
			return Replica.Crash.NONE;
		});
		bed.start(Bed.config(1, "[{\"name\":\"bakers\",\"apiKeys\":[\"key-of-bakers\"],\"priority\":1}]"));
		List<Integer> before = new ArrayList<>();
		for (int i = 1; i <= REQUESTS; i++) {
			before.add(order(bed, "held-" + i, Map.of("Gullsaddle-Key", "key-of-bakers")));
			before.add(order(bed, "early-unknown-" + i, Map.of("Gullsaddle-Key", "never-held-" + i)));
		}
		boolean sound = before.equals(expected(200, 401));
		if (bed.trouble) {
			bed.store.put("op/config", Bed.config(2, "[]"));
			bed.log("confirmed version 2, which has no tenants left");
		}
		Thread.sleep(CONFIG_APPLY_MILLIS + 1000);
		for (int i = 1; i <= REQUESTS; i++) {
			order(bed, "unknown-" + i, Map.of("Gullsaddle-Key", "never-held-" + i));
			order(bed, "missing-" + i, Map.of());
			if (bed.trouble) {
				order(bed, "revoked-" + i, Map.of("Gullsaddle-Key", "key-of-bakers"));
			}
			Thread.sleep(PAUSE_MILLIS);
		}
		long unknown = ran.stream().filter((id) -> id.contains("unknown-")).count();
		long missing = ran.stream().filter((id) -> id.startsWith("missing-")).count();
		long revoked = ran.stream().filter((id) -> id.startsWith("revoked-")).count();
		bed.finish(unknown + missing + revoked > 0 || !sound,
				"before the change as expected: %s; runs with a key that no configuration ever held: %d, without a key: %d, with a key taken away: %d"
					.formatted(sound, unknown, missing, revoked));
	}

	private static int order(Bed bed, String id, Map<String, String> headers) {
		return bed.send(id, "POST", "/order/butter", headers, new byte[] { 'x' });
	}

	private static List<Integer> expected(int held, int unknown) {
		List<Integer> statuses = new ArrayList<>();
		for (int i = 1; i <= REQUESTS; i++) {
			statuses.add(held);
			statuses.add(unknown);
		}
		return statuses;
	}

}
