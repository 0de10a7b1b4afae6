import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.json.JsonObject;

/** Ten consumers send a body each as large as maxBodyBytes allows, at the usual rate of requests. */
final class LargeBodies extends Case {

	private static final int UPLOADS = 10;

	private static final int USUAL_BYTES = 600;

	private static final int MAX_BODY_BYTES = 4_194_304;

	/** What one consumer sends in a second: 16 Mbit, of the 1,000 of the machine's link. */
	private static final int BYTES_PER_SECOND = 2_000_000;

	private static final long TIMEOUT_MILLIS = 3000;

	private static final long HALF_A_SECOND = 500;

	/** How long consumers wait, by the sheet. */
	private static final int PATIENCE_MILLIS = 6000;

	private record Outcome(String attempt, String path, int bytes, long sentAt, String answer, long afterMillis) {
	}

	private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

	public static void main(String[] args) {
		run(new LargeBodies(), args);
	}

	@Override
	boolean play() throws Exception {
		List<Replica> replicas = List.of(new Replica("i-app-1", "dispatch-app"), new Replica("i-app-2", "dispatch-app"),
				new Replica("i-app-3", "dispatch-app"));
		List<JsonObject> routes = List.of(route("book-order", "unsafe", "dispatch-app", 2),
				route("order-lookup", "safe", "dispatch-app", 2));
		routes.forEach((route) -> route.put("timeoutMs", TIMEOUT_MILLIS));
		this.store.put("op/config", config(3, routes, "dispatch-app"));
		for (Replica each : replicas) {
			each.workMillis = 86;
			each.listen();
			this.store.put("servers/" + each.id, each.entry("ready").encode());
		}
		Gateway gateway = new Gateway("front-1");
		gateway.awaitReady();
		Thread.sleep(4000);
		List<Thread> consumers = new ArrayList<>();
		long until = now() + 25_000;
		long uploadAt = now() + 3000;
		for (int i = 0; i < UPLOADS; i++) {
			int number = i;
			consumers.add(Thread.startVirtualThread(() -> orders(gateway, number, uploadAt + 50L * number, until)));
		}
		for (int i = 0; i < 2; i++) {
			consumers.add(Thread.startVirtualThread(() -> lookups(gateway, until)));
		}
		while (now() < until) {
			Thread.sleep(1000);
			note("ready: " + gateway.isReady() + ", process alive: " + gateway.process.isAlive());
		}
		for (Thread each : consumers) {
			each.join();
		}
		return judge(gateway);
	}

	/** Sends one order a second or so on a kept channel; in trouble, one of them is large. */
	private void orders(Gateway gateway, int number, long uploadAt, long until) {
		boolean uploaded = false;
		Http.Channel channel = null;
		while (now() < until) {
			boolean large = this.trouble && !uploaded && now() >= uploadAt;
			uploaded |= large;
			channel = call(gateway, channel, "POST", "/book-order/" + number, large ? MAX_BODY_BYTES : USUAL_BYTES);
			pause(1000);
		}
	}

	private void lookups(Gateway gateway, long until) {
		Http.Channel channel = null;
		while (now() < until) {
			channel = call(gateway, channel, "GET", "/order-lookup/1", 0);
			pause(1000);
		}
	}

	private Http.Channel call(Gateway gateway, Http.Channel kept, String method, String path, int bytes) {
		String attempt = newAttempt();
		Http.Channel channel = kept;
		long sentAt = now();
		String answer;
		try {
			if (channel == null) {
				channel = new Http.Channel(gateway.front, PATIENCE_MILLIS);
			}
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			headers(attempt, PATIENCE_MILLIS).forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
			head.append("Content-Length: " + bytes + "\r\n\r\n");
			OutputStream out = channel.socket().getOutputStream();
			out.write(head.toString().getBytes());
			byte[] part = new byte[BYTES_PER_SECOND / 50];
			for (int at = 0; at < bytes; at += part.length) {
				out.write(part, 0, Math.min(part.length, bytes - at));
				pause((bytes > part.length) ? 20 : 0);
			}
			out.flush();
			sentAt = now();
			Http.Message message = Http.read(channel.socket().getInputStream(), true);
			answer = (message != null) ? Integer.toString(message.status()) : "closed";
		}
		catch (SocketTimeoutException ex) {
			answer = "none";
		}
		catch (IOException ex) {
			answer = "closed: " + ex.getMessage();
		}
		Outcome outcome = new Outcome(attempt, path, bytes, sentAt, answer, now() - sentAt);
		this.outcomes.add(outcome);
		note(attempt + " " + method + " " + path + ", " + bytes + " bytes, sent whole at " + sentAt + ": " + answer
				+ " after " + outcome.afterMillis());
		if (!answer.matches("\\d+")) {
			try {
				channel.close();
			}
			catch (IOException | NullPointerException ex) {
				// It is closed.
			}
			return null;
		}
		return channel;
	}

	private boolean judge(Gateway gateway) throws IOException {
		List<Outcome> open = this.outcomes.stream().filter((each) -> each.afterMillis() > TIMEOUT_MILLIS).toList();
		List<Outcome> late = open.stream()
			.filter((each) -> each.afterMillis() > TIMEOUT_MILLIS + HALF_A_SECOND && !each.answer().startsWith("closed"))
			.toList();
		long small = late.stream().filter((each) -> each.bytes() <= USUAL_BYTES).count();
		note(this.outcomes.size() + " requests, " + open.size() + " unanswered at timeoutMs, of these " + late.size()
				+ " without an answer half a second later (" + small + " of them small)");
		note("ready at the end: " + gateway.isReady());
		long errors = gateway.log().lines().filter((line) -> line.contains("OutOfMemoryError")).count();
		note("lines of the log with OutOfMemoryError: " + errors);
		return late.size() >= 8 && 2 * late.size() > open.size() && 4 * late.size() > open.size();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
