package org.gullsaddle.standin;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;

import org.gullsaddle.platform.standin.PortLease;

/**
 * A cluster of real processes on the loopback address, for one test.
 */
final class Cluster implements AutoCloseable {

	static final String GOLD = "key-of-gold";

	static final String BASIC = "key-of-basic";

	/**
	 * Where the processes' settings and logs stay after a test: without them a failure
	 * that shows once cannot be traced.
	 */
	private static final Path FOLDERS = Path.of("target", "clusters").toAbsolutePath();

	/** The stand-ins' own configuration, first on the class path, turns logs off. */
	private static final String DAEMON_LOGS = "-Dlogback.configurationFile="
			+ Path.of("..", "daemon", "src", "main", "resources", "logback.xml").toAbsolutePath();

	private static final long PATIENCE_MILLIS = 30_000;

	private final Path folder;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, Integer> ports = new LinkedHashMap<>();

	private final List<PortLease> leases = new ArrayList<>();

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	Cluster() throws Exception {
		this.folder = Files.createTempDirectory(Files.createDirectories(FOLDERS), "cluster");
		standin("platform", "platform");
		await("the platform", () -> status("platform", "/vms") == 200);
	}

	/**
	 * Starts two entries, and for each of the agents an engine or a service.
	 */
	static Cluster start(String... agents) throws Exception {
		Cluster cluster = new Cluster();
		for (String agent : agents) {
			if (agent.startsWith("service")) {
				cluster.standin("backend-of-" + agent, "service");
			}
			else {
				cluster.standin("backend-of-" + agent, "engine", "--models", "small@v1,large@v1", "--token-millis",
						"10");
			}
			cluster.launchAgent(agent);
		}
		cluster.launchEntry("entry-1");
		cluster.launchEntry("entry-2");
		cluster.awaitEntry("entry-1");
		for (String agent : agents) {
			cluster.awaitAgent(agent);
		}
		cluster.apply("assistant", Fixtures.ASSISTANT, 0);
		cluster.apply("bookings", Fixtures.BOOKINGS, 0);
		for (String entry : List.of("entry-1", "entry-2")) {
			cluster.await(entry + " to have all links", () -> cluster.links(entry) == agents.length + 1);
			cluster.awaitAllowance(entry, () -> cluster.chat(entry, GOLD, "ready", Map.of()));
			if (List.of(agents).stream().anyMatch((agent) -> agent.startsWith("service"))) {
				cluster.awaitAllowance(entry, () -> cluster.order(entry, "ready", "ready-" + entry, Map.of()));
			}
		}
		return cluster;
	}

	void standin(String name, String kind, String... options) throws Exception {
		List<String> command = new ArrayList<>(List.of(kind, "--port", String.valueOf(port(name))));
		command.addAll(List.of(options));
		java(name, "org.gullsaddle.standin.Standin", command);
	}

	void entry(String name) throws Exception {
		launchEntry(name);
		awaitEntry(name);
	}

	private void awaitEntry(String name) throws InterruptedException {
		await(name, () -> status(name + "-admin", "/health/live") == 200);
	}

	private void launchEntry(String name) throws Exception {
		int admin = port(name + "-admin");
		String settings = common(name, "entry") + """
				entry:
				  listen: 127.0.0.1:%d
				  admin: 127.0.0.1:%d
				  rating: http://127.0.0.1:%d/rate
				  sessionKey: a-key-that-entries-share
				  teams:
				    - {team: gold, keySha256: %s}
				    - {team: basic, keySha256: %s}
				  operators:
				    - {operator: ann, keySha256: %s}
				    - {operator: eve, keySha256: %s, teams: [basic]}
				""".formatted(port(name), admin, this.ports.get("platform"), hash(GOLD), hash(BASIC),
				hash("key-of-ann"), hash("key-of-eve"));
		daemon(name, "entry", settings);
	}

	void agent(String name) throws Exception {
		launchAgent(name);
		awaitAgent(name);
	}

	private void awaitAgent(String name) throws InterruptedException {
		await(name, () -> status(name, "/health/ready") == 200);
	}

	private void launchAgent(String name) throws Exception {
		boolean service = name.startsWith("service");
		String settings = common(name, "agent") + """
				agent:
				  kind: %s
				  backend: http://127.0.0.1:%d
				  status: 127.0.0.1:%d
				  slots: 8
				  probe: 200ms
				  %s
				""".formatted(service ? "service" : "chat", this.ports.get("backend-of-" + name), port(name),
				service ? "versions: [scheduling@v1]" : "");
		daemon(name, "agent", settings);
	}

	private String common(String name, String role) {
		return """
				node: %s
				role: %s
				region: west
				dataCenter: west-1
				peers: {listen: 127.0.0.1:%d, key: a-key-that-nodes-share}
				store: {url: "http://127.0.0.1:%d", timeout: 500ms}
				vms: {url: "http://127.0.0.1:%d/vms", poll: 200ms}
				stopWithin: 20s
				""".formatted(name, role, port(name + "-peer"), this.ports.get("platform"), this.ports.get("platform"));
	}

	private void daemon(String name, String role, String settings) throws Exception {
		Path file = this.folder.resolve(name + ".yaml");
		Files.writeString(file, settings);
		list(name, role, "live");
		java(name, "org.gullsaddle.daemon.Gullsaddled", List.of("--settings", file.toString()));
	}

	/**
	 * Has the platform list a node in a state.
	 */
	void list(String name, String state) {
		list(name, name.startsWith("entry") ? "entry" : "agent", state);
	}

	private void list(String name, String role, String state) {
		JsonObject vm = new JsonObject().put("role", role)
			.put("address", "127.0.0.1:" + this.ports.get(name + "-peer"))
			.put("state", state);
		send("PUT", "platform", "/vms/" + name, vm.encode(), Map.of());
	}

	private void java(String name, String main, List<String> arguments) throws IOException {
		String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		String classes = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		List<String> command = new ArrayList<>(List.of(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m",
				DAEMON_LOGS, "-cp", classes, main));
		command.addAll(arguments);
		File log = this.folder.resolve(name + ".log").toFile();
		this.processes.put(name,
				new ProcessBuilder(command).redirectErrorStream(true)
					.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
					.start());
	}

	HttpResponse<String> chat(String entry, String key, String prompt, Map<String, String> headers) {
		return send("POST", entry, "/v1/chat/completions", body(prompt, false),
				with(headers, "Authorization", "Bearer " + key));
	}

	/**
	 * Starts a streamed answer; its lines come as they are read.
	 */
	CompletableFuture<HttpResponse<Stream<String>>> stream(String entry, String key, String prompt) {
		HttpRequest request = request("POST", entry, "/v1/chat/completions", body(prompt, true),
				Map.of("Authorization", "Bearer " + key));
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofLines());
	}

	HttpResponse<String> order(String entry, String item, String idempotencyKey, Map<String, String> headers) {
		Map<String, String> all = with(headers, "Authorization", "Bearer " + GOLD);
		return send("POST", entry, "/v1/services/bookings/orders", new JsonObject().put("item", item).encode(),
				with(all, "Idempotency-Key", idempotencyKey));
	}

	void apply(String template, String yaml, long expect) {
		HttpResponse<String> response = send("PUT", "entry-1-admin",
				"/admin/v1/templates/" + template + "?expect=" + expect, yaml,
				Map.of("Authorization", "Bearer key-of-ann"));
		if (response.statusCode() != 200) {
			throw new IllegalStateException(response.body());
		}
	}

	JsonObject admin(String entry, String path) {
		return new JsonObject(
				send("GET", entry + "-admin", "/admin/v1/" + path, "", Map.of("Authorization", "Bearer key-of-ann"))
					.body());
	}

	void fault(String standin, String path, String mode, int delayMillis) {
		send("POST", standin, path, new JsonObject().put("mode", mode).put("delayMillis", delayMillis).encode(),
				Map.of());
	}

	JsonObject get(String name, String path) {
		return new JsonObject(send("GET", name, path, "", Map.of()).body());
	}

	private int links(String entry) {
		return admin(entry, "status").getJsonArray("links").size();
	}

	private int status(String name, String path) {
		try {
			return send("GET", name, path, "", Map.of()).statusCode();
		}
		catch (IllegalStateException ex) {
			return 0;
		}
	}

	HttpResponse<String> send(String method, String to, String path, String body, Map<String, String> headers) {
		try {
			return this.client.send(request(method, to, path, body, headers), HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new IllegalStateException(method + " " + to + path + ": " + ex, ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	private HttpRequest request(String method, String to, String path, String body, Map<String, String> headers) {
		HttpRequest.Builder request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.ports.get(to) + path))
			.method(method,
					body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body));
		headers.forEach(request::header);
		return request.build();
	}

	/**
	 * Ends a process without warning.
	 */
	void kill(String name) throws InterruptedException {
		this.processes.get(name).destroyForcibly().waitFor();
	}

	/**
	 * Tells a process to stop, and returns its exit code once it has.
	 */
	int stop(String name) {
		this.processes.get(name).destroy();
		return this.processes.get(name).onExit().join().exitValue();
	}

	/**
	 * Opens a connection to a node's interface for callers.
	 */
	Socket connect(String name) throws IOException {
		return new Socket("127.0.0.1", this.ports.get(name));
	}

	void pause(String name) throws Exception {
		signal(name, "-STOP");
	}

	void resume(String name) throws Exception {
		signal(name, "-CONT");
	}

	private void signal(String name, String signal) throws Exception {
		new ProcessBuilder("kill", signal, String.valueOf(this.processes.get(name).pid())).start().waitFor();
	}

	/**
	 * Waits until an entry serves a request of a template. Each template's allowance is
	 * granted by itself, up to a second apart: that of one says nothing of the other's.
	 * What the entry answered last is told if it never serves it.
	 */
	private void awaitAllowance(String entry, Supplier<HttpResponse<String>> request) throws InterruptedException {
		AtomicReference<String> last = new AtomicReference<>("nothing");
		try {
			await(entry + " to have an allowance", () -> {
				HttpResponse<String> answer = request.get();
				last.set(answer.statusCode() + " " + answer.body());
				return answer.statusCode() == 200;
			});
		}
		catch (IllegalStateException ex) {
			throw new IllegalStateException(ex.getMessage() + "; it answered " + last.get(), ex);
		}
	}

	void await(String what, BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new IllegalStateException("waited in vain for " + what + "; see " + this.folder);
			}
			Thread.sleep(50);
		}
	}

	@Override
	public void close() throws IOException {
		for (Process process : this.processes.values()) {
			process.destroyForcibly().onExit().join();
		}
		for (PortLease lease : this.leases) {
			lease.close();
		}
	}

	private int port(String name) {
		return this.ports.computeIfAbsent(name, (missing) -> lease());
	}

	private int lease() {
		try {
			PortLease lease = PortLease.take(1);
			this.leases.add(lease);
			return lease.first();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String body(String prompt, boolean stream) {
		return new DemoRequest("", "assistant", prompt, stream, null, null).body().encode();
	}

	private static Map<String, String> with(Map<String, String> headers, String name, String value) {
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put(name, value);
		return all;
	}

	private static String hash(String key) throws Exception {
		byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
		return HexFormat.of().formatHex(hash);
	}

}
