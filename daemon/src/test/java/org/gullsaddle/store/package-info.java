/**
 * Tests of the package of the same name.
 */
package org.gullsaddle.store;
