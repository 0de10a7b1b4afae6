import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.json.JsonObject;

/** Stands in for a replica of a plain service: runs each request for a fixed time and answers whole. */
final class Replica {

	/** A request that it began to run. */
	record Run(String attempt, String path, long atMillis, int bodyBytes) {
	}

	final String id;

	final String service;

	final List<Run> runs = new CopyOnWriteArrayList<>();

	volatile long workMillis = 20;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private ServerSocket server;

	Replica(String id, String service) {
		this.id = id;
		this.service = service;
	}

	void listen() throws Exception {
		this.server = Http.serve(0, this::handle);
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	JsonObject entry(String state) {
		return entryAt(address(), state);
	}

	JsonObject entryAt(String address, String state) {
		return new JsonObject().put("service", this.service)
			.put("address", address)
			.put("zone", "tacoma-a")
			.put("version", "v1")
			.put("slots", 6)
			.put("state", state)
			.put("coldRemainingMs", 0)
			.put("sequence", 1)
			.put("born", 1_700_000_000_000L);
	}

	/** Exits: nothing listens any more, and what runs is cut off. */
	void end() throws Exception {
		this.server.close();
		for (Socket each : this.open) {
			if (!each.isClosed()) {
				each.setSoLinger(true, 0);
				each.close();
			}
		}
	}

	private boolean handle(Http.Message request, Socket channel) throws Exception {
		this.open.add(channel);
		String target = request.header("Gullsaddle-Target-Instance");
		String attempt = request.header("Gullsaddle-Attempt-Id");
		if (target != null && !target.equals(this.id)) {
			Http.write(channel, "HTTP/1.1 421 x", Map.of(), new byte[0]);
			return true;
		}
		if (request.uri().startsWith("/health")) {
			Http.write(channel, "HTTP/1.1 200 x", Map.of("Gullsaddle-Instance-Id", this.id), new byte[0]);
			return true;
		}
		this.runs.add(new Run(attempt, request.uri(), Case.now(), request.body().length));
		Case.current.note(this.id + " runs " + attempt + " (" + request.uri() + ", " + request.body().length + " bytes)");
		Thread.sleep(this.workMillis);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Gullsaddle-Attempt-Id", attempt);
		headers.put("Gullsaddle-Response-Signature", "mac-of-" + this.id);
		headers.put("Gullsaddle-Server-Load", "1,0,6");
		Http.write(channel, "HTTP/1.1 200 OK", headers, ("done " + attempt).getBytes());
		return true;
	}

}
