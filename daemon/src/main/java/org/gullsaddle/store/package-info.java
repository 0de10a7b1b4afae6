/**
 * The platform's store, by the JSON interface that etcd publishes for its version 3.
 */
package org.gullsaddle.store;
