/**
 * The protocol between the system's own processes: length-prefixed MessagePack
 * {@link org.gullsaddle.wire.Frame frames} over TCP, between peers that have proved to
 * each other that they know the shared key.
 */
package org.gullsaddle.wire;
