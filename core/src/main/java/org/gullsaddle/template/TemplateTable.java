package org.gullsaddle.template;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.gullsaddle.base.TemplateName;

/**
 * The templates in force on a node. Not thread-safe.
 */
public final class TemplateTable {

	private final Map<TemplateName, TemplateRevision> templates = new TreeMap<>();

	/**
	 * Applies a revision if it is newer than the one in force.
	 * <p>
	 * A value read from a lagging source, or a push that arrives out of order, may be
	 * older than the revision in force. Applying it would give withdrawn versions new
	 * work again, so only a higher revision is applied.
	 * @param candidate the revision
	 * @return true if it is now in force
	 */
	public boolean apply(TemplateRevision candidate) {
		TemplateName name = candidate.template().name();
		if (revisionOf(name) >= candidate.revision()) {
			return false;
		}
		this.templates.put(name, candidate);
		return true;
	}

	/**
	 * Returns the revision in force of a template.
	 * @param name the template
	 * @return the revision, or empty if none is known
	 */
	public Optional<TemplateRevision> find(TemplateName name) {
		return Optional.ofNullable(this.templates.get(name));
	}

	/**
	 * Returns the number of the revision in force.
	 * @param name the template
	 * @return the number, or 0 if none is known
	 */
	public long revisionOf(TemplateName name) {
		TemplateRevision current = this.templates.get(name);
		return (current != null) ? current.revision() : 0;
	}

	/**
	 * Returns all templates in force, by name.
	 * @return an unmodifiable snapshot
	 */
	public Map<TemplateName, TemplateRevision> snapshot() {
		return Map.copyOf(this.templates);
	}

}
