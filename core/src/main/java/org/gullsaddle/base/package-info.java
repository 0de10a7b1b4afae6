/**
 * Value types shared by every part of the system: identifiers, the {@link Verdict} and
 * {@link Refusal}, token usage and prices. Nothing here does I/O.
 */
package org.gullsaddle.base;
