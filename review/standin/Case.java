import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** What all cases share: the record, the gateways as the deploy file starts them, and consumers' requests. */
abstract class Case {

	private static final long STARTED = System.nanoTime();

	/** A script runs for 120 seconds at most. */
	private static final long LONGEST_MILLIS = 110_000;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Store store = new Store();

	final List<Process> processes = new ArrayList<>();

	private final AtomicInteger attempts = new AtomicInteger();

	/** The case that this process plays, for the stand-ins to note what they run. */
	static Case current;

	private PrintWriter record;

	private Path folder;

	int storePort;

	static long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - STARTED);
	}

	/** Writes one line of the record. */
	synchronized void note(String text) {
		this.record.printf("%7d ms  %s%n", now(), text);
		this.record.flush();
	}

	/** Plays the case. Returns whether the rule was broken. */
	abstract boolean play() throws Exception;

	/** Runs a case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
	static void run(Case it, String[] args) {
		int code = 2;
		try {
			it.record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])));
			current = it;
			it.folder = Files.createTempDirectory("gullsaddle-review");
			Runtime.getRuntime().addShutdownHook(new Thread(it::endAll));
			Thread.ofPlatform().daemon().start(() -> {
				try {
					Thread.sleep(LONGEST_MILLIS);
					it.note("took too long");
					it.endAll();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				Runtime.getRuntime().halt(2);
			});
			it.note("trouble: " + it.trouble);
			it.storePort = it.store.listen();
			code = it.play() ? 1 : 0;
		}
		catch (Throwable ex) {
			ex.printStackTrace();
			if (it.record != null) {
				it.note("could not run: " + ex);
			}
		}
		if (it.record != null) {
			it.note((code == 1) ? "RULE BROKEN" : (code == 0) ? "rule held" : "not run");
		}
		it.endAll();
		System.out.println((code == 1) ? "rule broken" : (code == 0) ? "rule held" : "case could not run");
		Runtime.getRuntime().halt(code);
	}

	private synchronized void endAll() {
		this.processes.forEach(Process::destroyForcibly);
		for (Process each : this.processes) {
			try {
				each.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		if (this.folder != null) {
			try (var files = Files.list(this.folder)) {
				for (Path each : files.toList()) {
					if (System.getenv("KEEP_LOGS") == null) {
						Files.deleteIfExists(each);
					}
				}
				Files.deleteIfExists(this.folder);
			}
			catch (IOException ex) {
				// What is left lies in the temporary folder.
			}
		}
	}

	/** One gateway process. */
	final class Gateway {

		final String name;

		final int front = freePort();

		final int ready = freePort();

		final int metrics = freePort();

		Process process;

		Gateway(String name) throws Exception {
			this.name = name;
			Files.writeString(settings(), """
					node: "%s"
					role: "entry"
					machineClass: "front"
					serves: ["front"]
					ip: "127.0.0.1"
					zone: "tacoma-a"
					region: "cascadia-west"
					zones: {tacoma-a: "cascadia-west", pendleton-a: "columbia-east", everett-b: "cascadia-west"}
					listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
					portRange: [7340, 7355]
					seedNodes: []
					bootstrap: true
					limits: {cpuShare: 0.57, cpuCores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
					discovery: "platform"
					entry: "vip"
					heartbeatMs: 1200
					contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "rollout"]
					bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 4000, ackMs: 5000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 3000, rollbackSlackMs: 250, outerBoundMs: 6000, strictRevoke: false, revokeMs: 5000, retryBudgetRatio: 0.9, budgetWindowS: 10, retryBudgetSlack: 52, exposeShare: 0.15, exposeSlack: 30, rollbackMs: 5000, recoveryS: 12, passMs: 400, reuseWindowS: 10, sessionS: 5}
					platform: {address: "127.0.0.1:%d", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
					"""
				.formatted(name, this.front, this.ready, Case.this.storePort));
			start();
		}

		private Path settings() {
			return Case.this.folder.resolve(this.name + ".yaml");
		}

		/** Starts it by the deploy file's command. */
		void start() throws IOException {
			String run = Files.readAllLines(Path.of("deploy/system.toml"))
				.stream()
				.filter((line) -> line.startsWith("run = \""))
				.findFirst()
				.orElseThrow();
			ProcessBuilder builder = new ProcessBuilder(run.substring(7, run.length() - 1).split(" "));
			builder.environment().put("GULLSADDLE_CONFIG", settings().toString());
			builder.environment().put("GULLSADDLE_METRICS_PORT", Integer.toString(this.metrics));
			Path log = Case.this.folder.resolve(this.name + ".log");
			builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
			this.process = builder.start();
			Case.this.processes.add(this.process);
			note(this.name + ": started");
		}

		boolean isReady() {
			try (Http.Channel channel = new Http.Channel(this.ready, 1000)) {
				Http.Message answer = channel.call("GET /gullsaddle/ready HTTP/1.1", Map.of("Host", "ready"), new byte[0]);
				return answer != null && answer.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		void awaitReady() throws Exception {
			long until = now() + 20_000;
			while (!isReady()) {
				if (now() > until) {
					throw new IOException(this.name + " is not ready");
				}
				Thread.sleep(50);
			}
			note(this.name + ": ready");
		}

		String log() throws IOException {
			return Files.readString(Case.this.folder.resolve(this.name + ".log"));
		}

	}

	private static int freePort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	String newAttempt() {
		return "a" + this.attempts.incrementAndGet();
	}

	/** A consumer's headers. */
	Map<String, String> headers(String attempt, long deadlineMillis) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", "shop.example");
		headers.put("Gullsaddle-Attempt-Id", attempt);
		headers.put("Gullsaddle-Deadline-Ms", Long.toString(deadlineMillis));
		return headers;
	}

	static JsonObject route(String name, String kind, String service, int attempts) {
		return new JsonObject().put("name", name)
			.put("host", "shop.example")
			.put("prefix", "/" + name + "/")
			.put("kind", kind)
			.put("timeoutMs", 6000)
			.put("targetLatencyMs", 486)
			.put("priority", 1)
			.put("service", service)
			.put("maxAttempts", attempts)
			.put("public", true);
	}

	/** A configuration of public routes, so that requests need no key. */
	static String config(long version, List<JsonObject> routes, String... services) {
		JsonArray specs = new JsonArray();
		for (String each : services) {
			specs.add(new JsonObject().put("name", each).put("maxConnections", 96).put("healthPath", "/health"));
		}
		return new JsonObject().put("version", version)
			.put("routes", new JsonArray(routes))
			.put("services", specs)
			.put("limits", new JsonObject().put("maxHeaderBytes", 16_384).put("maxBodyBytes", 4_194_304)
				.put("headerTimeoutMs", 10_000).put("idleTimeoutMs", 60_000))
			.encode();
	}

}
