package org.gullsaddle.fleet;

import java.util.Optional;

/**
 * A service as configured by the operators.
 *
 * @param name its name
 * @param maxConnections how many connections one replica takes from all callers together
 * @param engine the specification of its model engines, empty for a plain service
 * @param coldStart how its replicas behave after their start
 */
public record ServiceSpec(ServiceName name, int maxConnections, Optional<EngineSpec> engine, ColdStart coldStart) {
}
