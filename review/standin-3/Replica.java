import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica of a service. Answers plain requests after its work, and generations as a
 * stream of numbered events that goes on after {@code Last-Event-Id}. Can crash: it then
 * resets all its channels, refuses new ones, and is back after a while as a new process.
 * Can also go dark: it then sends nothing more, its entry lapses after three heartbeats,
 * and it is back as a new process, too.
 */
final class Replica {

	private static final int EVENTS = 40;

	private static final long EVENT_MILLIS = 50;

	/** How long a replica is dark, in milliseconds. */
	private static final long DARK_MILLIS = 4500;

	/** When the entry of a dark replica lapses: three heartbeats, in milliseconds. */
	private static final long LAPSE_MILLIS = 3 * Bed.HEARTBEAT_MILLIS;

	/** How long a crashed replica is away, in milliseconds. */
	private static final long CRASH_BACK_MILLIS = 3000;

	private final Bed bed;

	private final String id;

	private final String service;

	private final Set<Socket> channels = ConcurrentHashMap.newKeySet();

	private volatile ServerSocket server;

	private volatile boolean listed = true;

	private volatile boolean dark;

	/** How long it works for a plain request, in milliseconds. */
	private volatile long workMillis = 20;

	private int port;

	private int sequence;

	private long bornAt = System.currentTimeMillis();

	private volatile Arrival arrival = (request) -> Crash.NONE;

	Replica(Bed bed, String id, String service) {
		this.bed = bed;
		this.id = id;
		this.service = service;
	}

	void onArrival(Arrival newArrival) {
		this.arrival = newArrival;
	}

	void work(long newWorkMillis) {
		this.workMillis = newWorkMillis;
	}

	String key() {
		return "servers/" + this.id;
	}

	String id() {
		return this.id;
	}

	boolean isListed() {
		return this.listed && !this.dark && this.server != null;
	}

	/**
	 * Stops its heartbeats, as it leaves.
	 */
	void unlist() {
		this.listed = false;
	}

	synchronized String entry() {
		this.sequence++;
		return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%d}"
			.formatted(this.service, this.port, this.sequence, this.bornAt);
	}

	void listen() throws IOException {
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), this.port), 1024);
		this.port = socket.getLocalPort();
		this.server = socket;
		Thread.ofVirtual().start(() -> accept(socket));
	}

	private void accept(ServerSocket from) {
		try {
			while (true) {
				Socket socket = from.accept();
				this.channels.add(socket);
				Thread.ofVirtual().start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// Closed: it has crashed or left.
		}
	}

	/**
	 * Ends the process: resets all channels and refuses new ones.
	 */
	void end() {
		try {
			this.server.close();
			this.server = null;
			for (Socket each : this.channels) {
				each.setSoLinger(true, 0);
				each.close();
			}
		}
		catch (IOException ex) {
			this.bed.log("replica " + this.id + " could not end: " + ex.getMessage());
		}
	}

	private synchronized void crash() {
		if (this.server == null) {
			return;
		}
		this.bed.log("crashed " + this.id);
		end();
		comeBack(CRASH_BACK_MILLIS);
	}

	private synchronized void goDark() {
		if (this.dark) {
			return;
		}
		this.dark = true;
		this.bed.log("dark " + this.id);
		this.bed.after(LAPSE_MILLIS, () -> this.bed.store.remove(key()));
		this.bed.after(DARK_MILLIS, () -> {
			end();
			comeBack(0);
		});
	}

	private void comeBack(long millis) {
		this.bed.after(millis, () -> {
			try {
				this.dark = false;
				this.bornAt = System.currentTimeMillis();
				listen();
				this.bed.store.put(key(), entry());
				this.bed.log("back " + this.id);
			}
			catch (IOException ex) {
				this.bed.log("replica " + this.id + " could not start: " + ex.getMessage());
			}
		});
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = socket.getOutputStream();
			for (Http.Request each = Http.readRequest(in); each != null; each = Http.readRequest(in)) {
				answer(each, out);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The channel was closed by either side.
		}
		finally {
			this.channels.remove(socket);
		}
	}

	/**
	 * Waits for its end if it is dark.
	 */
	private void checkDark() throws IOException, InterruptedException {
		while (this.dark) {
			Thread.sleep(EVENT_MILLIS);
			if (!this.dark) {
				throw new IOException("the process has ended");
			}
		}
	}

	private void answer(Http.Request request, OutputStream out) throws IOException, InterruptedException {
		checkDark();
		if (request.uri().startsWith("/gullsaddle/report")) {
			Http.writeAnswer(out, 200, Map.of("Content-Type", "application/json"),
					"{\"running\":0,\"waiting\":0,\"runs\":[]}".getBytes(StandardCharsets.US_ASCII));
			return;
		}
		if (!request.header("Gullsaddle-Target-Instance").equals(this.id)) {
			Http.writeAnswer(out, 421, Map.of("Gullsaddle-Instance-Id", this.id), new byte[0]);
			return;
		}
		this.bed.log("runs " + request.header("Gullsaddle-Attempt-Id") + " at " + this.id);
		Crash crash = this.arrival.accept(request);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Gullsaddle-Attempt-Id", request.header("Gullsaddle-Attempt-Id"));
		headers.put("Gullsaddle-Response-Signature", "signature-of-" + this.id);
		headers.put("Gullsaddle-Server-Load", "1,0,64");
		if (request.header("Gullsaddle-Token-Usage").isEmpty()) {
			Thread.sleep(this.workMillis);
			Http.writeAnswer(out, 200, headers, "done".getBytes(StandardCharsets.US_ASCII));
		}
		else {
			stream(request, headers, out, crash);
		}
	}

	private void stream(Http.Request request, Map<String, String> headers, OutputStream out, Crash crash)
			throws IOException, InterruptedException {
		String last = request.header("Last-Event-Id");
		long beganAt = this.bed.now();
		if (endsNow(crash, beganAt)) {
			return;
		}
		StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		head.append("Transfer-Encoding: chunked\r\n\r\n");
		out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
		for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
			if (endsNow(crash, beganAt)) {
				return;
			}
			String event = "id: " + i + "\ndata: piece-" + i + "\n\n";
			out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.US_ASCII));
			out.flush();
			Thread.sleep(EVENT_MILLIS);
		}
		if (crash.isCrash()) {
			end(crash);
			return;
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	private boolean endsNow(Crash crash, long beganAt) throws IOException, InterruptedException {
		checkDark();
		boolean now = crash.isCrash() && this.bed.now() - beganAt >= crash.afterMillis();
		if (now) {
			end(crash);
		}
		return now;
	}

	private void end(Crash crash) throws IOException, InterruptedException {
		if (crash.silent()) {
			goDark();
			checkDark();
		}
		else {
			crash();
		}
	}

	/**
	 * Handles a request that has reached a replica.
	 */
	interface Arrival {

		Crash accept(Http.Request request);

	}

	/**
	 * What a request does to the replica that runs it.
	 *
	 * @param afterMillis how long after the run began it crashes, negative if it does not
	 * @param silent whether the replica goes dark instead of resetting its channels
	 */
	record Crash(long afterMillis, boolean silent) {

		static final Crash NONE = new Crash(-1, false);

		boolean isCrash() {
			return this.afterMillis >= 0;
		}

	}

}
