package org.gullsaddle.rollout;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TemplateName;

/**
 * A halted version: it gets no new work until an operator changes the template.
 *
 * @param template the template
 * @param revision the template's revision under which it was halted
 * @param version the version
 * @param reason which evidence led to the halt
 */
public record Halt(TemplateName template, long revision, ModelVersion version, String reason) {
}
