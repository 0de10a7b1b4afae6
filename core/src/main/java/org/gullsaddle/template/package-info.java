/**
 * Templates: what an operator allows each team, their parsing from YAML, and the
 * {@link org.gullsaddle.template.TemplateTable} of those in force, which never goes back
 * to an older revision.
 */
package org.gullsaddle.template;
