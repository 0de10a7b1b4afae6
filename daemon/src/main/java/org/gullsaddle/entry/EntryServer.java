package org.gullsaddle.entry;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;

import org.gullsaddle.settings.Settings;
import org.gullsaddle.telemetry.StatusRoutes;

/**
 * The entry's two HTTP servers.
 */
public final class EntryServer {

	private final EntryNode node;

	private final HttpServer callers;

	private final HttpServer admin;

	/**
	 * Makes servers that do not listen yet.
	 * @param node the entry
	 */
	public EntryServer(EntryNode node) {
		this.node = node;
		Settings.Entry settings = node.settings().entry().orElseThrow();
		Router callerRouter = Router.router(node.vertx());
		StatusRoutes.add(callerRouter, node.telemetry(), node::ready);
		new CallerApi(node, settings).routes(callerRouter);
		Router adminRouter = Router.router(node.vertx());
		new AdminApi(node, settings).routes(adminRouter);
		this.callers = node.vertx().createHttpServer().requestHandler(callerRouter);
		this.admin = node.vertx().createHttpServer().requestHandler(adminRouter);
	}

	/**
	 * Listens.
	 * @return done once both listen
	 */
	public Future<Void> listen() {
		Settings.Entry settings = this.node.settings().entry().orElseThrow();
		return this.callers.listen(settings.listen().port(), settings.listen().host())
			.compose((listening) -> this.admin.listen(settings.admin().port(), settings.admin().host()))
			.mapEmpty();
	}

}
