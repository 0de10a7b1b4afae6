/**
 * Measures the policy: drives the real decision core with small fakes of backend servers
 * on a virtual clock, against baselines in the same run.
 */
package org.gullsaddle.measure;
