import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.json.JsonObject;

/** A gateway is stopped while the platform's store is down; consumers go on on kept channels. */
final class StopInOutage extends Case {

	private static final long LOSS_SLACK_MILLIS = 200;

	private static final int CONSUMERS = 4;

	/** When consumers use their channels again, after the SIGTERM. */
	private static final long AGAIN_MILLIS = 2600;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final AtomicInteger lost = new AtomicInteger();

	public static void main(String[] args) {
		run(new StopInOutage(), args);
	}

	@Override
	boolean play() throws Exception {
		List<Replica> replicas = List.of(new Replica("i-app-1", "dispatch-app"), new Replica("i-app-2", "dispatch-app"));
		List<JsonObject> routes = List.of(route("book-order", "unsafe", "dispatch-app", 2));
		this.store.put("op/config", config(3, routes, "dispatch-app"));
		for (Replica each : replicas) {
			each.workMillis = 86;
			each.listen();
			this.store.put("servers/" + each.id, each.entry("ready").encode());
		}
		Gateway gateway = new Gateway("front-1");
		gateway.awaitReady();
		// The machine is in touch, and what is settled once after a start is over.
		Thread.sleep(8000);
		List<Thread> consumers = new ArrayList<>();
		for (int i = 0; i < CONSUMERS; i++) {
			int number = i;
			consumers.add(Thread.startVirtualThread(() -> consume(gateway, number)));
		}
		Thread.sleep(1000);
		this.store.awaitWatchAnswered();
		Thread.sleep(50);
		if (this.trouble) {
			this.store.silent(true);
			note("the store is down: it reads calls and answers none");
		}
		gateway.process.destroy();
		note("SIGTERM");
		this.stopped.countDown();
		for (Thread each : consumers) {
			each.join();
		}
		gateway.process.waitFor();
		note("the process has ended with " + gateway.process.exitValue());
		replicas.forEach((each) -> note(each.id + " ran " + each.runs.size() + " orders in all"));
		note(this.lost + " requests lost");
		return this.lost.get() > 0;
	}

	/** Uses a channel once at first, and once more at a given time. */
	private void consume(Gateway gateway, int number) {
		try (Http.Channel channel = new Http.Channel(gateway.front, 8000)) {
			call(channel);
			this.stopped.await();
			Thread.sleep(AGAIN_MILLIS + 20L * number);
			call(channel);
		}
		catch (Exception ex) {
			note("a consumer's channel: " + ex);
		}
	}

	private void call(Http.Channel channel) {
		String attempt = newAttempt();
		long sentAt = now();
		String answer;
		try {
			Http.Message message = channel.call("POST /book-order/1 HTTP/1.1", headers(attempt, 6000), new byte[600]);
			answer = (message != null) ? Integer.toString(message.status()) : "channel closed without an answer";
		}
		catch (Exception ex) {
			answer = "channel closed without an answer: " + ex.getMessage();
		}
		long after = now() - sentAt;
		if (answer.startsWith("channel") && after > LOSS_SLACK_MILLIS) {
			this.lost.incrementAndGet();
		}
		note(attempt + " sent at " + sentAt + ": " + answer + " after " + after);
	}

}
