/**
 * The gateway: accepts callers' requests and sends them directly to replicas from the
 * platform's registry. Everything here runs on one event loop; the routing decisions are
 * made in {@code org.gullsaddle.serve}. {@link org.gullsaddle.gateway.HeaderCodec} and
 * {@link org.gullsaddle.gateway.FleetSource} hide the platform's own formats.
 */
package org.gullsaddle.gateway;
