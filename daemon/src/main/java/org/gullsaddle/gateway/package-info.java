/**
 * The gateway: takes callers' requests and sends them straight to replicas that the
 * platform's registry lists. Everything here runs on one event loop; the decisions are
 * those of {@code org.gullsaddle.serve}. The platform's names are translated behind
 * {@link org.gullsaddle.gateway.HeaderCodec} and
 * {@link org.gullsaddle.gateway.FleetSource}.
 */
package org.gullsaddle.gateway;
