package org.gullsaddle.entry;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;

import org.gullsaddle.settings.Settings;
import org.gullsaddle.telemetry.StatusRoutes;

/**
 * The entry's HTTP servers: one for callers, one for operators.
 */
public final class EntryServer {

	private final EntryNode node;

	private final HttpServer callerServer;

	private final HttpServer adminServer;

	/**
	 * Creates the servers; {@link #listen} starts them.
	 * @param node the entry node
	 */
	public EntryServer(EntryNode node) {
		this.node = node;
		Settings.Entry settings = node.settings().entry().orElseThrow();
		Router callerRouter = Router.router(node.vertx());
		StatusRoutes.add(callerRouter, node.telemetry(), node::isReady);
		new CallerApi(node, settings).addRoutes(callerRouter);
		Router adminRouter = Router.router(node.vertx());
		new AdminApi(node, settings).addRoutes(adminRouter);
		this.callerServer = node.vertx().createHttpServer().requestHandler(callerRouter);
		this.adminServer = node.vertx().createHttpServer().requestHandler(adminRouter);
	}

	/**
	 * Starts both servers.
	 * @return completes when both listen
	 */
	public Future<Void> listen() {
		Settings.Entry settings = this.node.settings().entry().orElseThrow();
		return this.callerServer.listen(settings.listen().port(), settings.listen().host())
			.compose((listening) -> this.adminServer.listen(settings.admin().port(), settings.admin().host()))
			.mapEmpty();
	}

}
