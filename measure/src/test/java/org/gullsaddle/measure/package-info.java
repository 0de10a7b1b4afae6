/**
 * Tests of the models that policies are measured against.
 */
package org.gullsaddle.measure;
