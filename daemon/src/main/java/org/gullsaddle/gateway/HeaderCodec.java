package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.serve.EngineReport;

/**
 * Translates between the HTTP headers of callers and replicas and the gateway's own
 * types.
 */
public interface HeaderCodec {

	/**
	 * Reads a caller's request.
	 * @param request the request, of which only the head is read
	 * @return its contents
	 * @throws BadRequestException if a header cannot be parsed
	 */
	CallerRequest read(HttpServerRequest request) throws BadRequestException;

	/**
	 * Returns the headers for a replica: the caller's without hop-by-hop headers and
	 * those that the gateway sets.
	 * @param caller the caller's headers
	 * @param handover what the gateway adds for the replica
	 * @return the headers
	 */
	MultiMap replicaHeaders(MultiMap caller, ForwardingContext handover);

	/**
	 * Reads the head of a replica's answer.
	 * @param response the response
	 * @return its contents
	 */
	ReplicaAnswer read(HttpClientResponse response);

	/**
	 * Returns the headers for a caller: the replica's without hop-by-hop headers.
	 * @param replica the replica's headers
	 * @return the headers
	 */
	MultiMap callerHeaders(MultiMap replica);

	/**
	 * Returns the path at which an engine reports its load.
	 * @return the path
	 */
	String loadReportPath();

	/**
	 * Reads an engine's load report.
	 * @param body the body of its answer
	 * @return the report, or empty if the body cannot be parsed
	 */
	Optional<EngineReport> readLoadReport(Buffer body);

}
