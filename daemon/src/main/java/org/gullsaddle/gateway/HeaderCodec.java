package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.serve.EngineReport;

/**
 * Translates between HTTP headers as callers and replicas speak them and the product's
 * types.
 */
public interface HeaderCodec {

	/**
	 * Reads a caller's request.
	 * @param request the request's head
	 * @return what it says
	 * @throws BadRequestException if a header cannot be read
	 */
	CallerRequest read(HttpServerRequest request) throws BadRequestException;

	/**
	 * Writes the headers for a replica: the caller's, without those that are the system's
	 * to set or concern one connection only.
	 * @param caller the caller's headers
	 * @param handover what the replica is told besides
	 * @return the headers
	 */
	MultiMap replicaHeaders(MultiMap caller, ForwardingContext handover);

	/**
	 * Reads the head of a replica's answer.
	 * @param response the response
	 * @return what it says
	 */
	ReplicaAnswer read(HttpClientResponse response);

	/**
	 * Writes the headers for a caller: the replica's, without those that concern one
	 * connection only.
	 * @param replica the replica's headers
	 * @return the headers
	 */
	MultiMap callerHeaders(MultiMap replica);

	/**
	 * Returns where an engine tells its load.
	 * @return the path
	 */
	String loadReportPath();

	/**
	 * Reads what an engine tells of its load.
	 * @param body the body of its answer
	 * @return its load, or empty if the body cannot be read
	 */
	Optional<EngineReport> readLoadReport(Buffer body);

}
