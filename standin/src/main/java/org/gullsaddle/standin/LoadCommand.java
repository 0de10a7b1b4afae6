package org.gullsaddle.standin;

import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Sends a bounded load of chat completions to a port on the loopback address, and prints
 * how long they took.
 */
@Command(name = "load", description = "Send a bounded load of chat completions, and time them")
public final class LoadCommand implements Runnable {

	private static final double NANOS_PER_MILLI = 1e6;

	@Option(name = "--port", description = "The port on the loopback address")
	private int port = 17_011;

	@Option(name = "--model", description = "What the requests name")
	private String model = "assistant";

	@Option(name = "--key", description = "The API key")
	private String key = "key-of-technicians";

	@Option(name = "--requests", description = "How many requests, at most 100000")
	private int requests = 2000;

	@Option(name = "--concurrency", description = "How many at once, at most 256")
	private int concurrency = 16;

	@Option(name = "--words", description = "How many words an answer has")
	private int words = 20;

	private final AtomicInteger next = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	@Override
	public void run() {
		int total = Math.min(this.requests, 100_000);
		int callers = Math.min(this.concurrency, 256);
		Vertx vertx = Vertx.vertx();
		HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(callers));
		long[] nanos = new long[total];
		CountDownLatch done = new CountDownLatch(total);
		long start = System.nanoTime();
		for (int i = 0; i < callers; i++) {
			send(client, nanos, done);
		}
		try {
			done.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		double seconds = (System.nanoTime() - start) / 1e9;
		Arrays.sort(nanos);
		System.out.println(String.format(Locale.ROOT,
				"{\"served\":%d,\"of\":%d,\"perSecond\":%.1f,\"p50Millis\":%.2f,\"p95Millis\":%.2f,\"p99Millis\":%.2f}",
				this.served.get(), total, total / seconds, at(nanos, 0.50), at(nanos, 0.95), at(nanos, 0.99)));
		vertx.close();
	}

	private void send(HttpClient client, long[] nanos, CountDownLatch done) {
		int number = this.next.getAndIncrement();
		if (number >= nanos.length) {
			return;
		}
		long start = System.nanoTime();
		client.request(HttpMethod.POST, this.port, "127.0.0.1", "/v1/chat/completions")
			.compose((request) -> request.putHeader("Authorization", "Bearer " + this.key).send(body(number)))
			.compose((response) -> response.body().map((read) -> response.statusCode()))
			.onComplete((status) -> {
				nanos[number] = System.nanoTime() - start;
				if (status.succeeded() && status.result() == 200) {
					this.served.incrementAndGet();
				}
				done.countDown();
				send(client, nanos, done);
			});
	}

	private Buffer body(int number) {
		JsonObject message = new JsonObject().put("role", "user")
			.put("content", this.words + " words, number " + number);
		return new JsonObject().put("model", this.model)
			.put("stream", true)
			.put("messages", new JsonArray().add(message))
			.toBuffer();
	}

	private static double at(long[] sorted, double part) {
		return sorted[(int) Math.min(sorted.length - 1, part * sorted.length)] / NANOS_PER_MILLI;
	}

}
