import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-ins for the review's scripts: the platform's store, replicas, consumers and the
 * platform that starts a gateway with the deploy file's command. Plain sockets on the
 * loopback address, one virtual thread a connection.
 */
final class Bed implements AutoCloseable {

	static final String HOST = "shop.example";

	static final String KEY = "key-of-bakers";

	private static final long STARTED = System.nanoTime();

	/** When a case is given up, in milliseconds. */
	private static final long MAX_MILLIS = 110_000;

	private final PrintWriter record;

	private final Path folder;

	private final List<Process> processes = new ArrayList<>();

	Bed(String record) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(record)), true);
		this.folder = Files.createTempDirectory("gullsaddle-review");
		Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
		Thread.ofPlatform().daemon().start(() -> {
			sleep(MAX_MILLIS);
			note("not over after " + MAX_MILLIS + " ms");
			System.exit(2);
		});
	}

	/** Runs a case and exits with its code. */
	static void main(String record, Case body) {
		int code = 2;
		try (Bed bed = new Bed(record)) {
			bed.note(trouble() ? "with the disruption" : "without the disruption (TROUBLE=0)");
			code = body.run(bed);
			bed.note("exit " + code + ((code == 0) ? ", the rule held" : (code == 1) ? ", the rule was broken" : ", could not run"));
		}
		catch (Exception ex) {
			ex.printStackTrace();
			code = 2;
		}
		System.exit(code);
	}

	static long now() {
		return (System.nanoTime() - STARTED) / 1_000_000;
	}

	static boolean trouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/** Writes a line to the record, with the time since the start in milliseconds. */
	synchronized void note(String text) {
		this.record.printf(Locale.ROOT, "%7d %s%n", now(), text);
		System.out.printf(Locale.ROOT, "%7d %s%n", now(), text);
	}

	/** Writes what the consumers sent and got, and what the replicas ran, to the record. */
	void record(Collection<Seen> seen, Collection<Replica> replicas) {
		seen.stream().sorted(Comparator.comparingLong(Seen::sentAt)).forEach((each) -> this.record.println("call " + each));
		replicas.forEach((replica) -> replica.runs.forEach((run) -> this.record.println("run " + replica.id + " " + run)));
	}

	@Override
	public void close() {
		endProcesses();
		this.record.close();
	}

	private synchronized void endProcesses() {
		for (Process each : this.processes) {
			each.destroyForcibly();
			try {
				each.waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		try (Stream<Path> files = Files.exists(this.folder) ? Files.list(this.folder) : Stream.empty()) {
			for (Path each : files.toList()) {
				Files.deleteIfExists(each);
			}
			Files.deleteIfExists(this.folder);
		}
		catch (IOException ex) {
			System.err.println("not removed: " + this.folder);
		}
	}

	/** Settings as the platform writes them for a small deployment. */
	private static String settings(Site site, String node, int front, int ready, int store) {
		return """
				node: "%s"
				role: "entry"
				machineClass: "front"
				serves: ["front"]
				ip: "127.0.0.1"
				%s
				listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
				portRange: [7340, 7355]
				seedNodes: []
				bootstrap: true
				lossCounts: false
				dataDir: null
				discovery: "platform"
				entry: "vip"
				heartbeatMs: 1200
				platform: {address: "127.0.0.1:%d", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
				"""
			.formatted(node, site.settings, front, ready, store);
	}

	/** Settings that differ between the sites. */
	enum Site {

		CRUMBSHARE("""
				zone: "winnipeg-a"
				region: "manitoba"
				zones: {winnipeg-a: "manitoba", regina-a: "saskatchewan", brandon-b: "manitoba"}
				limits: {cpuShare: 0.57, cpuCores: 1, memoryMb: 280, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
				contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
				faultTolerance: {machines: 1, zones: 0, regions: 0}
				bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 3000, rollbackSlackMs: 250, outerBoundMs: 6000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retryBudgetSlack: 54, exposeShare: 0.15, exposeSlack: 30, rollbackMs: 5000, recoveryS: 12, passMs: 400, reuseWindowS: 10, sessionS: 5}"""),

		HALVORSEN("""
				zone: "tacoma-a"
				region: "cascadia-west"
				zones: {tacoma-a: "cascadia-west", everett-b: "cascadia-west", pendleton-a: "columbia-east"}
				limits: {cpuShare: 0.57, cpuCores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
				contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
				faultTolerance: {machines: 1, zones: 0, regions: 0}
				bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 3000, rollbackSlackMs: 250, outerBoundMs: 6000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retryBudgetSlack: 52, exposeShare: 0.15, exposeSlack: 30, rollbackMs: 5000, recoveryS: 12, passMs: 400, reuseWindowS: 10, sessionS: 5}"""),

		HALVORSEN_LARGE("""
				zone: "tacoma-a"
				region: "cascadia-west"
				zones: {tacoma-a: "cascadia-west", everett-b: "cascadia-west", pendleton-a: "columbia-east"}
				limits: {cpuShare: 0.57, cpuCores: 1, memoryMb: 330, maxFds: 4100, linkMbps: 140.0, diskMb: 0}
				contracts: ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "tenants", "platform", "rollout"]
				faultTolerance: {machines: 1, zones: 0, regions: 0}
				bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 5000, ackMs: 8000, catchUpS: 6, drainMs: 5000, graceS: 8, lossSlackMs: 200, configApplyMs: 5000, rollbackSlackMs: 250, outerBoundMs: 8000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retryBudgetSlack: 106, exposeShare: 0.12, exposeSlack: 30, rollbackMs: 5000, recoveryS: 15, passMs: 400, reuseWindowS: 10, sessionS: 6.5}""");

		private final String settings;

		Site(String settings) {
			this.settings = settings;
		}

	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
	}

	/** One process of the system, started as the deploy file says. */
	final class Gateway {

		final int front = freePort();

		final int ready = freePort();

		final int metrics = freePort();

		final Path log;

		Process process;

		private final Path settings;

		Gateway(Site site, String node, Store store) throws IOException {
			this.settings = Bed.this.folder.resolve(node + ".yaml");
			this.log = Bed.this.folder.resolve(node + ".log");
			Files.writeString(this.settings, settings(site, node, this.front, this.ready, store.port()));
		}

		void start() throws IOException {
			String deploy = Files.readString(Path.of("deploy/system.toml"));
			Matcher run = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE).matcher(deploy);
			if (!run.find()) {
				throw new IOException("no run line");
			}
			ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
			builder.environment().clear();
			builder.environment().put("PATH", String.valueOf(System.getenv("PATH")));
			builder.environment().put("HOME", Bed.this.folder.toString());
			builder.environment().put("LANG", "C.UTF-8");
			builder.environment().put("GULLSADDLE_CONFIG", this.settings.toString());
			builder.environment().put("GULLSADDLE_METRICS_PORT", Integer.toString(this.metrics));
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			this.process = builder.start();
			Bed.this.processes.add(this.process);
			note("gateway started, process " + this.process.pid());
		}

		/** Asks like the platform; 0 if nothing answers within a second. */
		int ready() {
			try (Socket socket = connect(this.ready)) {
				socket.setSoTimeout(1000);
				socket.getOutputStream()
					.write("GET /gullsaddle/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
				Head head = Head.read(new BufferedInputStream(socket.getInputStream()));
				return (head != null) ? head.status() : 0;
			}
			catch (IOException ex) {
				return 0;
			}
		}

		boolean awaitReady(long millis) {
			long until = now() + millis;
			while (now() < until) {
				if (ready() == 200) {
					note("gateway ready");
					return true;
				}
				sleep(100);
			}
			note("gateway not ready in " + millis + " ms");
			return false;
		}

		void signal(String name) throws IOException {
			note("SIG" + name + " to process " + this.process.pid());
			new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).inheritIO().start();
		}

		/** Copies lines of the log that match to the record, at most some. */
		void noteLog(String pattern, int most) throws IOException {
			List<String> found = Files.readAllLines(this.log)
				.stream()
				.filter((line) -> Pattern.compile(pattern).matcher(line).find())
				.toList();
			note("log lines with /" + pattern + "/: " + found.size());
			found.stream().limit(most).forEach((line) -> note("  log: " + line.substring(0, Math.min(300, line.length()))));
		}

	}

	static Socket connect(int port) throws IOException {
		Socket socket = new Socket();
		socket.setTcpNoDelay(true);
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
		return socket;
	}

	/** Head of a request or an answer. */
	record Head(String first, Map<String, String> fields) {

		static Head read(InputStream in) throws IOException {
			String first = line(in);
			if (first == null) {
				return null;
			}
			Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
			for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
				int colon = each.indexOf(':');
				if (colon < 0) {
					throw new IOException("no header: " + each);
				}
				fields.put(each.substring(0, colon), each.substring(colon + 1).strip());
			}
			return new Head(first, fields);
		}

		int status() throws IOException {
			String[] words = this.first.split(" ");
			if (words.length < 2 || !words[1].matches("\\d{3}")) {
				throw new IOException("no status: " + this.first);
			}
			return Integer.parseInt(words[1]);
		}

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

		/** Reads the body; -1 as the most for no bound. */
		byte[] body(InputStream in, boolean answer) throws IOException {
			if (field("Transfer-Encoding").equalsIgnoreCase("chunked")) {
				ByteArrayOutputStream all = new ByteArrayOutputStream();
				while (true) {
					String size = line(in);
					if (size == null) {
						throw new IOException("broke off in a chunk");
					}
					int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
					all.write(exactly(in, bytes));
					String end = line(in);
					if (end == null) {
						throw new IOException("broke off after a chunk");
					}
					if (bytes == 0) {
						return all.toByteArray();
					}
				}
			}
			if (!field("Content-Length").isEmpty()) {
				return exactly(in, Integer.parseInt(field("Content-Length")));
			}
			return answer ? in.readAllBytes() : new byte[0];
		}

		private static byte[] exactly(InputStream in, int bytes) throws IOException {
			byte[] read = in.readNBytes(bytes);
			if (read.length < bytes) {
				throw new IOException("broke off in a body");
			}
			return read;
		}

		private static String line(InputStream in) throws IOException {
			ByteArrayOutputStream text = new ByteArrayOutputStream();
			for (int next = in.read(); next >= 0; next = in.read()) {
				if (next == '\n') {
					String line = text.toString(StandardCharsets.ISO_8859_1);
					return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
				}
				text.write(next);
			}
			return (text.size() == 0) ? null : text.toString(StandardCharsets.ISO_8859_1);
		}

	}

	/** Serves each connection on a thread of its own. */
	abstract static class Server implements AutoCloseable {

		final ServerSocket listening;

		volatile boolean closed;

		final ConcurrentLinkedQueue<Socket> open = new ConcurrentLinkedQueue<>();

		Server() throws IOException {
			this.listening = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
			Thread.ofVirtual().start(this::accept);
		}

		int port() {
			return this.listening.getLocalPort();
		}

		private void accept() {
			while (!this.closed) {
				try {
					Socket socket = this.listening.accept();
					socket.setTcpNoDelay(true);
					this.open.add(socket);
					Thread.ofVirtual().start(() -> serve(socket));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				while (!this.closed) {
					Head head = Head.read(in);
					if (head == null) {
						return;
					}
					if (!answer(head, head.body(in, false), socket)) {
						return;
					}
				}
			}
			catch (IOException ex) {
				// The other side has closed.
			}
			finally {
				this.open.remove(socket);
			}
		}

		/** Answers; returns whether the connection is kept. */
		abstract boolean answer(Head head, byte[] body, Socket socket) throws IOException;

		@Override
		public void close() {
			this.closed = true;
			try {
				this.listening.close();
				for (Socket each : this.open) {
					each.close();
				}
			}
			catch (IOException ex) {
				// Closing anyway.
			}
		}

		static void send(Socket socket, int status, String fields, byte[] body) throws IOException {
			OutputStream out = socket.getOutputStream();
			byte[] head = ("HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1);
			byte[] all = Arrays.copyOf(head, head.length + body.length);
			System.arraycopy(body, 0, all, head.length, body.length);
			out.write(all);
			out.flush();
		}

	}

	/** The platform's store: items, revisions, watches and conditional writes. */
	static class Store extends Server {

		record Item(String key, String value, long revision, byte[] json) {

			static Item written(String key, String value, long revision, long created) {
				String json = "{\"key\":\"" + key + "\",\"value\":\""
						+ Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\",\"revision\":"
						+ revision + ",\"createRevision\":" + created + ",\"lease\":0}";
				return new Item(key, value, revision, json.getBytes());
			}

			static Item removed(String key, long revision) {
				return new Item(key, "", revision,
						("{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}").getBytes());
			}

		}

		private static final String JSON = "Content-Type: application/json\r\n";

		final TreeMap<String, Item> items = new TreeMap<>();

		final List<Item> history = new ArrayList<>();

		private final Map<String, Long> created = new HashMap<>();

		private final List<Long> historyAt = new ArrayList<>();

		private long forgotten;

		private long revision = 10;

		/** How long changes are kept, in milliseconds. */
		long historyMillis = 20_000;

		/** The largest answer to a watch, in bytes. */
		final AtomicInteger largestWatch = new AtomicInteger();

		final AtomicInteger calls = new AtomicInteger();

		Store() throws IOException {
		}

		synchronized long put(String key, String value) {
			this.revision++;
			Item item = Item.written(key, value, this.revision, this.created.computeIfAbsent(key, (one) -> this.revision));
			this.items.put(key, item);
			change(item);
			return this.revision;
		}

		synchronized void remove(String key) {
			if (this.items.remove(key) != null) {
				this.revision++;
				this.created.remove(key);
				change(Item.removed(key, this.revision));
			}
		}

		synchronized String read(String key) {
			Item item = this.items.get(key);
			return (item != null) ? item.value() : "";
		}

		private void change(Item item) {
			this.history.add(item);
			this.historyAt.add(now());
			while (now() - this.historyAt.get(0) > this.historyMillis) {
				this.forgotten = this.history.remove(0).revision();
				this.historyAt.remove(0);
			}
			notifyAll();
		}

		private static Map<String, String> query(String uri) {
			Map<String, String> query = new LinkedHashMap<>();
			int mark = uri.indexOf('?');
			if (mark >= 0) {
				for (String each : uri.substring(mark + 1).split("&")) {
					int equals = each.indexOf('=');
					query.put(each.substring(0, equals),
							URLDecoder.decode(each.substring(equals + 1), StandardCharsets.UTF_8));
				}
			}
			return query;
		}

		@Override
		boolean answer(Head head, byte[] body, Socket socket) throws IOException {
			this.calls.incrementAndGet();
			sleep(4);
			String[] first = head.first().split(" ");
			Map<String, String> query = query(first[1]);
			String path = first[1].split("\\?")[0];
			switch (path) {
				case "/gullsaddle/kv-key" -> key(query.get("key"), socket);
				case "/gullsaddle/kv-range" -> range(query.get("prefix"), query.getOrDefault("after", ""), socket);
				case "/gullsaddle/kv-watch" -> watch(query, socket);
				case "/gullsaddle/kv-txn" -> write(new String(body, StandardCharsets.UTF_8), socket);
				default -> send(socket, 404, JSON, "{}".getBytes());
			}
			return true;
		}

		private void key(String key, Socket socket) throws IOException {
			Item item;
			synchronized (this) {
				item = this.items.get(key);
			}
			send(socket, (item != null) ? 200 : 404, JSON, (item != null) ? item.json() : "{}".getBytes());
		}

		private void range(String prefix, String after, Socket socket) throws IOException {
			List<byte[]> found = new ArrayList<>();
			boolean more = false;
			long asOf;
			synchronized (this) {
				asOf = this.revision;
				int bytes = 0;
				for (Item item : this.items.tailMap(after, after.isEmpty()).values()) {
					if (item.key().startsWith(prefix)) {
						if (found.size() >= 500 || bytes > 1_000_000) {
							more = true;
							break;
						}
						found.add(item.json());
						bytes += item.json().length;
					}
				}
			}
			sendList(socket, "{\"items\":[", found, "],\"morePages\":" + more + ",\"asOf\":" + asOf + "}");
		}

		private void watch(Map<String, String> query, Socket socket) throws IOException {
			long after = Long.parseLong(query.get("after"));
			long until = now() + Long.parseLong(query.get("waitMs"));
			List<byte[]> found = new ArrayList<>();
			long asOf;
			synchronized (this) {
				while (this.revision <= after && now() < until) {
					try {
						wait(Math.max(1, until - now()));
					}
					catch (InterruptedException ex) {
						throw new IOException(ex);
					}
				}
				if (after < this.forgotten) {
					send(socket, 410, JSON, "{}".getBytes());
					return;
				}
				for (Item item : this.history) {
					if (item.revision() > after && item.key().startsWith(query.get("prefix"))) {
						found.add(item.json());
					}
				}
				asOf = this.revision;
			}
			this.largestWatch.accumulateAndGet(found.stream().mapToInt((each) -> each.length + 1).sum(), Math::max);
			sendList(socket, "{\"events\":[", found, "],\"asOf\":" + asOf + "}");
		}

		private static void sendList(Socket socket, String begin, List<byte[]> list, String end) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.write(begin.getBytes());
			for (int i = 0; i < list.size(); i++) {
				all.write(((i > 0) ? "," : "").getBytes());
				all.write(list.get(i));
			}
			all.write(end.getBytes());
			send(socket, 200, JSON, all.toByteArray());
		}

		private static final Pattern EXPECTED = Pattern
			.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}");

		private static final Pattern WRITE = Pattern
			.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":0\\}");

		private void write(String body, Socket socket) throws IOException {
			String answer;
			int status = 200;
			synchronized (this) {
				Matcher expected = EXPECTED.matcher(body);
				while (expected.find()) {
					Item item = this.items.get(expected.group(1));
					long known = (item != null) ? item.revision() : 0;
					if (known != Long.parseLong(expected.group(2))) {
						status = 412;
					}
				}
				if (status == 200) {
					Matcher write = WRITE.matcher(body);
					while (write.find()) {
						put(write.group(1), new String(Base64.getDecoder().decode(write.group(2)), StandardCharsets.UTF_8));
					}
				}
				answer = (status == 200) ? "{\"revision\":" + this.revision + "}" : "{\"items\":[]}";
			}
			send(socket, status, JSON, answer.getBytes());
		}

	}

	/** A replica that answers and notes what it ran. */
	static class Replica extends Server {

		final String id;

		final String service;

		final String zone;

		volatile long workMillis = Long.getLong("work", 20);

		/** Ids of the requests that it ran, with the time. */
		final ConcurrentLinkedQueue<String> runs = new ConcurrentLinkedQueue<>();

		final ConcurrentLinkedQueue<Long> arrivals = new ConcurrentLinkedQueue<>();

		final AtomicInteger running = new AtomicInteger();

		Replica(String id, String service, String zone) throws IOException {
			this.id = id;
			this.service = service;
			this.zone = zone;
		}

		String entry(String state, int sequence) {
			return "{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + this.zone
					+ "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
					+ "\",\"coldRemainingMs\":0,\"sequence\":" + sequence + ",\"born\":1764800000000}";
		}

		String fields(Head head) {
			return "Gullsaddle-Attempt-Id: " + head.field("Gullsaddle-Attempt-Id") + "\r\n"
					+ "Gullsaddle-Response-Signature: sig-" + head.field("Gullsaddle-Attempt-Id") + "\r\n"
					+ "Gullsaddle-Server-Load: " + this.running.get() + ",0,64\r\n";
		}

		@Override
		boolean answer(Head head, byte[] body, Socket socket) throws IOException {
			if (head.first().contains(" /gullsaddle/report ")) {
				send(socket, 200, "Content-Type: application/json\r\n",
						("{\"stage\":\"unified\",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
								+ "\"sequence\":2,\"waiting\":0,\"running\":" + this.running.get()
								+ ",\"kvUsed\":0,\"kvTotal\":359087,\"handles\":0}")
							.getBytes());
				return true;
			}
			String target = head.field("Gullsaddle-Target-Instance");
			if (!target.isEmpty() && !target.equals(this.id)) {
				send(socket, 421, "Gullsaddle-Instance-Id: " + this.id + "\r\n", new byte[0]);
				return true;
			}
			this.runs.add(head.field("Gullsaddle-Attempt-Id"));
			this.arrivals.add(now());
			this.running.incrementAndGet();
			try {
				return run(head, body, socket);
			}
			finally {
				this.running.decrementAndGet();
			}
		}

		/** Runs a request; returns whether the connection is kept. */
		boolean run(Head head, byte[] body, Socket socket) throws IOException {
			sleep(this.workMillis);
			send(socket, 200, fields(head), ("done " + head.field("Gullsaddle-Attempt-Id")).getBytes());
			return true;
		}

	}

	/** Part of a review case that is its own. */
	interface Case {

		int run(Bed bed) throws Exception;

	}

	/**
	 * Consumers with a kept channel each, which send small orders and stock reads in
	 * turn, and the check of how long these wait for their answers.
	 */
	static final class Bystanders {

		/** The timeoutMs of both routes. */
		private final int timeoutMillis;

		private static final long PAUSE_MILLIS = 200;

		final ConcurrentLinkedQueue<Seen> seen = new ConcurrentLinkedQueue<>();

		private final List<Thread> threads = new ArrayList<>();

		/** Consumers wait for twice the timeoutMs of their routes, as on the sheets. */
		Bystanders(int port, int consumers, int timeoutMillis, long untilMillis) {
			this(port, consumers, timeoutMillis, PAUSE_MILLIS, untilMillis);
		}

		Bystanders(int port, int consumers, int timeoutMillis, long pauseMillis, long untilMillis) {
			this.timeoutMillis = timeoutMillis;
			for (int i = 0; i < consumers; i++) {
				int number = i;
				this.threads.add(Thread.ofVirtual().start(() -> {
					try (Consumer consumer = new Consumer(port)) {
						for (int n = 0; now() < untilMillis; n++) {
							boolean order = number % 2 == 0;
							String id = String.format("%s-%02d-%04d", order ? "order" : "stock", number, n);
							this.seen.add(consumer.call(order ? "POST" : "GET", order ? "/order/1" : "/stock/1", id,
									2 * timeoutMillis, "",
									order ? "butter".getBytes() : new byte[0]));
							sleep(pauseMillis);
						}
					}
				}));
			}
		}

		void join() throws InterruptedException {
			for (Thread each : this.threads) {
				each.join();
			}
		}

		/**
		 * Rule CONFIG: of the requests without a final answer at their route's timeoutMs,
		 * more than half, and eight or more, have none half a second later.
		 */
		boolean isBroken(Bed bed) {
			return isBroken(bed, List.of());
		}

		/** The same with other requests of the same routes. */
		boolean isBroken(Bed bed, Collection<Seen> others) {
			Collection<Seen> all = new ArrayList<>(this.seen);
			all.addAll(others);
			List<Seen> late = all.stream()
				.filter((each) -> each.sent() && !each.isAnsweredIn(this.timeoutMillis))
				.toList();
			bed.note("requests that could not be sent whole: " + all.stream().filter((each) -> !each.sent()).count());
			List<Seen> tooLate = late.stream().filter((each) -> !each.isAnsweredIn(this.timeoutMillis + 500)).toList();
			tooLate.stream().limit(30).forEach((each) -> bed.note("too late: " + each));
			bed.note("requests: " + all.size() + " in all, "
					+ all.stream().filter((each) -> each.status() == 200).count() + " answered with 200, " + late.size()
					+ " without a final answer at " + this.timeoutMillis + " ms, " + tooLate.size() + " of these not at "
					+ (this.timeoutMillis + 500) + " ms either");
			return tooLate.size() >= 8 && 2 * tooLate.size() > late.size();
		}

	}

	/** What a consumer saw of one request. */
	record Seen(String id, boolean sent, long sentAt, long endAt, int status, byte[] body, String failure) {

		boolean isAnswered() {
			return this.status > 0;
		}

		boolean isAnsweredIn(long millis) {
			return isAnswered() && this.endAt - this.sentAt <= millis;
		}

		@Override
		public String toString() {
			return this.id + (this.sent ? " sent at " : " not sent at ") + this.sentAt + ", after " + (this.endAt - this.sentAt) + " ms: "
					+ (isAnswered() ? this.status + ", " + this.body.length + " bytes" : this.failure);
		}

	}

	/** A consumer with one kept channel. */
	static final class Consumer implements AutoCloseable {

		private final int port;

		/** The key of its tenant. */
		String key = KEY;

		private Socket socket;

		private InputStream in;

		Consumer(int port) {
			this.port = port;
		}

		private void open() throws IOException {
			if (this.socket == null || this.socket.isClosed()) {
				this.socket = connect(this.port);
				this.in = new BufferedInputStream(this.socket.getInputStream());
			}
		}

		private String request(String method, String path, String id, long deadline, String more, int length) {
			return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nGullsaddle-Attempt-Id: " + id
					+ "\r\nGullsaddle-Deadline-Ms: " + deadline + "\r\nGullsaddle-Key: " + this.key + "\r\n" + more
					+ ((length >= 0) ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
		}

		/** Sends a request and waits for the answer, at most until its time limit. */
		Seen call(String method, String path, String id, long deadline, String more, byte[] body) {
			long sentAt = now();
			boolean sent = false;
			try {
				open();
				this.socket.setSoTimeout((int) deadline + 1000);
				OutputStream out = this.socket.getOutputStream();
				out.write(request(method, path, id, deadline, more, body.length).getBytes());
				out.write(body);
				out.flush();
				sentAt = now();
				sent = true;
				Head head = Head.read(this.in);
				if (head == null) {
					close();
					return new Seen(id, sent, sentAt, now(), 0, new byte[0], "channel closed without an answer");
				}
				byte[] read = head.body(this.in, true);
				if (head.field("Connection").equalsIgnoreCase("close")) {
					close();
				}
				return new Seen(id, sent, sentAt, now(), head.status(), read, "");
			}
			catch (IOException ex) {
				close();
				return new Seen(id, sent, sentAt, now(), 0, new byte[0], String.valueOf(ex.getMessage()));
			}
		}

		@Override
		public void close() {
			if (this.socket != null) {
				try {
					this.socket.close();
				}
				catch (IOException ex) {
					// Closing anyway.
				}
			}
		}

	}

	/** A route of the operator's configuration. */
	static String route(String name, String prefix, String kind, String service, int timeout, int aim, int attempts,
			String more) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
				+ "\",\"timeoutMs\":" + timeout + ",\"targetLatencyMs\":" + aim + ",\"priority\":2,\"service\":\"" + service
				+ "\",\"maxAttempts\":" + attempts + ",\"public\":false" + more + "}";
	}

	static final String MODELS = ",\"sizes\":[\"m0\",\"m1\",\"m2\"],\"sticky\":true,\"streamResume\":true,\"gapAimMs\":1000";

	/** Routes like those of the small deployment. */
	static List<String> routes() {
		return routes(1000);
	}

	/** The same, with another timeoutMs of orders and stock reads. */
	static List<String> routes(int timeout) {
		return List.of(route("r-plan", "/plan/", "stream", "bakers", 15_000, 4000, 3, MODELS),
				route("r-note", "/note/", "stream", "bakers", 20_000, 2000, 3, MODELS),
				route("r-order", "/order/", "unsafe", "larder", timeout, 200, 1, ""),
				route("r-stock", "/stock/", "safe", "larder", timeout, 200, 2, ""));
	}

	/** The key of a tenant, of which the first is used unless another is asked for. */
	static String key(int tenant) {
		return (tenant == 0) ? KEY : KEY + "-" + tenant;
	}

	static String config(int version, List<String> routes) {
		return config(version, 1, routes);
	}

	static String config(int version, int tenants, List<String> routes) {
		List<String> all = new ArrayList<>();
		for (int i = 0; i < tenants; i++) {
			all.add("{\"name\":\"tenant-" + i + "\",\"apiKeys\":[\"" + key(i) + "\"],\"priority\":1}");
		}
		return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes)
				+ "],\"services\":[{\"name\":\"bakers\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,"
				+ "\"engine\":{\"slots\":64,\"kvCapacityTokens\":359087,\"kvTokenBytes\":18432,\"linkMbps\":180000.0,\"moves\":true,"
				+ "\"backups\":true,\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,"
				+ "\"models\":[{\"name\":\"m0\",\"cost\":0.0082},{\"name\":\"m1\",\"cost\":0.061},{\"name\":\"m2\",\"cost\":0.12}]}},"
				+ "{\"name\":\"larder\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false},"
				+ "{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
				+ "\"tenants\":[" + String.join(",", all) + "]}";
	}

}
