package org.gullsaddle.rollout;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TemplateName;

/**
 * A version that is given no new work, until an operator changes the template.
 *
 * @param template the template
 * @param revision the template's revision that it was halted under
 * @param version the version
 * @param reason what was seen
 */
public record Halt(TemplateName template, long revision, ModelVersion version, String reason) {
}
