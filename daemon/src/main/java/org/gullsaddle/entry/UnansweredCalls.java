package org.gullsaddle.entry;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Handler;
import io.vertx.ext.web.RoutingContext;

/**
 * Counts callers' requests between their head and the end of their answer or connection,
 * whatever they wait for in between. A stopping node must not end before the last of
 * them. The first handler of a route.
 */
final class UnansweredCalls implements Handler<RoutingContext> {

	private final AtomicInteger count = new AtomicInteger();

	@Override
	public void handle(RoutingContext context) {
		this.count.incrementAndGet();
		context.addEndHandler((ended) -> this.count.decrementAndGet());
		context.next();
	}

	int count() {
		return this.count.get();
	}

}
