import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store: items with revisions, watches and conditional writes. Can be made
 * unavailable: it then resets each channel on which a call comes.
 */
final class KeyStore {

	private static final Pattern CONDITION = Pattern
		.compile("\"key\"\\s*:\\s*\"([^\"]*)\"\\s*,\\s*\"revision\"\\s*:\\s*(\\d+)");

	private static final Pattern WRITE = Pattern
		.compile("\"key\"\\s*:\\s*\"([^\"]*)\"\\s*,\\s*\"value\"\\s*:\\s*\"([^\"]*)\"");

	private final Map<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	/** When each revision was first handed out by a call, in nanoseconds. */
	private final Map<Long, Long> toldAt = new HashMap<>();

	private long revision = 1;

	private long toldRevision;

	private boolean down;

	private ServerSocket server;

	void listen() throws IOException {
		this.server = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
		Thread.ofVirtual().start(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Closed at the end of the case.
		}
	}

	synchronized void down(boolean isDown) {
		this.down = isDown;
		notifyAll();
	}

	synchronized boolean takesHeartbeats() {
		return !this.down;
	}

	synchronized long put(String key, String value) {
		this.revision++;
		Item item = new Item(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
				this.revision, false);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
		return this.revision;
	}

	synchronized long remove(String key) {
		this.revision++;
		this.items.remove(key);
		this.history.add(new Item(key, "", this.revision, true));
		notifyAll();
		return this.revision;
	}

	/**
	 * Returns when the gateway's calls were first answered up to a revision, in
	 * nanoseconds, 0 if they were not.
	 */
	synchronized long toldAt(long wanted) {
		return this.toldAt.getOrDefault(wanted, 0L);
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			for (Http.Request call = Http.readRequest(in); call != null; call = Http.readRequest(in)) {
				Answer answer = answer(call);
				if (answer == null) {
					socket.setSoLinger(true, 0);
					return;
				}
				Http.writeAnswer(socket.getOutputStream(), answer.status, Map.of("Content-Type", "application/json"),
						answer.body.getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (IOException | InterruptedException ex) {
			// The caller has closed the channel.
		}
	}

	private synchronized Answer answer(Http.Request call) throws InterruptedException {
		if (this.down) {
			return null;
		}
		Map<String, String> query = query(call.uri());
		String path = call.uri().split("\\?")[0];
		if (path.endsWith("/kv-key")) {
			Item item = this.items.get(query.get("key"));
			return (item != null) ? new Answer(200, item.json()) : new Answer(404, "{}");
		}
		if (path.endsWith("/kv-range")) {
			told();
			return new Answer(200, "{\"items\":[%s],\"morePages\":false,\"asOf\":%d}"
				.formatted(join(this.items.values(), query.get("prefix"), 0), this.revision));
		}
		if (path.endsWith("/kv-watch")) {
			return watch(query);
		}
		if (path.endsWith("/kv-txn")) {
			return write(new String(call.body(), StandardCharsets.UTF_8));
		}
		return new Answer(404, "{}");
	}

	private Answer watch(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.get("after"));
		long until = System.nanoTime() + 1_000_000 * Long.parseLong(query.get("waitMs"));
		while (this.revision <= after && System.nanoTime() < until && !this.down) {
			wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
		}
		if (this.down) {
			return null;
		}
		told();
		return new Answer(200, "{\"events\":[%s],\"asOf\":%d}"
			.formatted(join(this.history, query.get("prefix"), after), this.revision));
	}

	private void told() {
		for (; this.toldRevision < this.revision; this.toldRevision++) {
			this.toldAt.put(this.toldRevision + 1, System.nanoTime());
		}
	}

	private Answer write(String body) {
		String condition = body.substring(body.indexOf("expectedRevision"), body.indexOf("writes"));
		for (Matcher each = CONDITION.matcher(condition); each.find();) {
			Item item = this.items.get(each.group(1));
			if (((item != null) ? item.revision : 0) != Long.parseLong(each.group(2))) {
				return new Answer(412, "{\"items\":[%s]}".formatted((item != null) ? item.json() : ""));
			}
		}
		for (Matcher each = WRITE.matcher(body.substring(body.indexOf("writes"))); each.find();) {
			put(each.group(1), new String(Base64.getDecoder().decode(each.group(2)), StandardCharsets.UTF_8));
		}
		return new Answer(200, "{\"revision\":%d}".formatted(this.revision));
	}

	private static String join(Iterable<Item> from, String prefix, long after) {
		List<String> texts = new ArrayList<>();
		from.forEach((item) -> {
			if (item.key.startsWith(prefix) && item.revision > after) {
				texts.add(item.json());
			}
		});
		return String.join(",", texts);
	}

	private static Map<String, String> query(String uri) {
		Map<String, String> query = new HashMap<>();
		int mark = uri.indexOf('?');
		for (String each : (mark < 0) ? new String[0] : uri.substring(mark + 1).split("&")) {
			String[] pair = each.split("=", 2);
			query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
		}
		return query;
	}

	private record Answer(int status, String body) {
	}

	private record Item(String key, String value, long revision, boolean removed) {

		String json() {
			return this.removed ? "{\"key\":\"%s\",\"revision\":%d,\"removed\":true}".formatted(this.key, this.revision)
					: "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"createRevision\":%d,\"lease\":0}"
						.formatted(this.key, this.value, this.revision, this.revision);
		}

	}

}
