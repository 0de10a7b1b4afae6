import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on the loopback address: a store, replicas and one gateway, which is
 * started by the run line of the deploy file as a process of its own. Writes what happens
 * to a record.
 */
final class Bed implements AutoCloseable {

	/** Heartbeat of the replicas, as in the settings of the site files. */
	static final long HEARTBEAT_MILLIS = 1200;

	static final int ROUTE_TIMEOUT_MILLIS = 5000;

	static final long DRAIN_MILLIS = 3000;

	static final long CONTACT_MILLIS = 4000;

	/** Exit code of a case that could not run. */
	static final int COULD_NOT_RUN = 2;

	private static final long START_MILLIS = 20_000;

	final KeyStore store = new KeyStore();

	final List<Replica> replicas = new ArrayList<>();

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final long startedAt = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	private int frontPort;

	private Process gateway;

	Bed(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("review");
		Runtime.getRuntime().addShutdownHook(new Thread(this::stopGateway));
		log(this.trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
	}

	/**
	 * Returns the milliseconds since the case began.
	 */
	long now() {
		return (System.nanoTime() - this.startedAt) / 1_000_000;
	}

	synchronized void log(String line) {
		this.record.printf(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, line);
	}

	Replica replica(String id, String service) throws IOException {
		Replica replica = new Replica(this, id, service);
		this.replicas.add(replica);
		return replica;
	}

	/**
	 * Lists the replicas, starts their heartbeats and then the gateway.
	 */
	void start(String config) throws IOException, InterruptedException {
		this.store.listen();
		this.store.put("op/config", config);
		for (Replica each : this.replicas) {
			each.listen();
			this.store.put(each.key(), each.entry());
		}
		this.timer.scheduleAtFixedRate(this::beat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		startGateway();
	}

	private void beat() {
		this.replicas.stream()
			.filter((each) -> each.isListed() && this.store.takesHeartbeats())
			.forEach((each) -> this.store.put(each.key(), each.entry()));
	}

	private void startGateway() throws IOException, InterruptedException {
		this.frontPort = freePort();
		int readyPort = freePort();
		Path settings = this.folder.resolve("settings.yaml");
		Files.writeString(settings, """
				node: "front-a-1"
				zone: "a"
				zones: {a: "north", b: "north"}
				listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
				limits: {memoryMb: 280, maxFds: 4100}
				contracts: ["base", "drain", "config", "retry", "engine", "stream", "tenants", "platform"]
				bounds: {graceS: 8, retryBudgetRatio: 0.9, drainMs: 3000, configApplyMs: 3000, contactMs: 4000}
				platform: {address: "127.0.0.1:%d"}
				""".formatted(this.frontPort, readyPort, this.store.port()));
		ProcessBuilder builder = new ProcessBuilder(runLine());
		builder.environment().put("GULLSADDLE_CONFIG", settings.toString());
		builder.environment().put("GULLSADDLE_METRICS_PORT", Integer.toString(freePort()));
		builder.redirectErrorStream(true);
		builder.redirectOutput(this.folder.resolve("gateway.log").toFile());
		this.gateway = builder.start();
		long until = now() + START_MILLIS;
		while (!isReady(readyPort)) {
			if (now() > until || !this.gateway.isAlive()) {
				throw new IOException("the gateway did not become ready");
			}
			Thread.sleep(50);
		}
		log("gateway ready");
	}

	/**
	 * Returns the command of the deploy file.
	 */
	private static List<String> runLine() throws IOException {
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no run line");
		}
		return Arrays.asList(run.group(1).split(" "));
	}

	private static boolean isReady(int port) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.getOutputStream()
				.write("GET /gullsaddle/ready HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			String line = new BufferedReader(new InputStreamReader(socket.getInputStream())).readLine();
			return line != null && line.contains(" 200 ");
		}
		catch (IOException ex) {
			return false;
		}
	}

	static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return socket.getLocalPort();
		}
	}

	boolean isGatewayAlive() {
		return this.gateway.isAlive();
	}

	/**
	 * Sends one request on a new channel and waits for its answer.
	 * @return the status, 0 if the channel ended without a whole answer
	 */
	int send(String id, String method, String path, Map<String, String> headers, byte[] body) {
		log("sent " + id + " " + method + " " + path);
		int status = 0;
		try (Socket socket = new Socket("127.0.0.1", this.frontPort)) {
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(15_000);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n");
			head.append("Gullsaddle-Attempt-Id: ").append(id).append("\r\n");
			head.append("Content-Length: ").append(body.length).append("\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			socket.getOutputStream().write(Http.concat(head.append("\r\n").toString(), body));
			status = Http.readAnswer(socket.getInputStream());
		}
		catch (IOException ex) {
			log("channel of " + id + " ended: " + ex.getMessage());
		}
		log("answered " + id + " " + status);
		return status;
	}

	void after(long millis, Runnable action) {
		this.timer.schedule(() -> {
			try {
				action.run();
			}
			catch (RuntimeException ex) {
				log("stand-in failed: " + ex);
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void stopGateway() {
		if (this.gateway != null) {
			this.gateway.destroyForcibly();
		}
	}

	/**
	 * Ends the gateway and the stand-ins and exits with the verdict.
	 */
	void finish(boolean broken, String summary) {
		log(summary);
		log(broken ? "BROKEN" : "held");
		System.out.println(summary + ": " + (broken ? "BROKEN" : "held"));
		close();
		System.exit(broken ? 1 : 0);
	}

	@Override
	public void close() {
		stopGateway();
		this.timer.shutdownNow();
		this.record.flush();
	}

	/**
	 * Returns a configuration with a resumable stream route {@code /ask/}, a safe route
	 * {@code /read/} and an unsafe one {@code /order/}.
	 * @param tenants the JSON array of the tenants
	 */
	static String config(long version, String tenants) {
		String common = "\"host\":\"shop.example\",\"timeoutMs\":%d,\"targetLatencyMs\":1000,\"priority\":1,\"public\":false"
			.formatted(ROUTE_TIMEOUT_MILLIS);
		return """
				{"version":%d,"routes":[
				{"name":"ask","prefix":"/ask/","kind":"stream","service":"engines","maxAttempts":3,"streamResume":true,"gapAimMs":1000,"sticky":true,%s},
				{"name":"read","prefix":"/read/","kind":"safe","service":"desk","maxAttempts":2,%s},
				{"name":"order","prefix":"/order/","kind":"unsafe","service":"desk","maxAttempts":1,%s}],
				"services":[{"name":"engines","healthPath":"/health","maxConnections":360,"protocol":"h1","tls":false,
				"engine":{"slots":64,"kvCapacityTokens":359087,"stride":4,"models":[{"name":"m0","cost":0.01}]}},
				{"name":"desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":%s}"""
			.formatted(version, common, common, common, tenants);
	}

}
