/**
 * Small stand-ins for what the system meets: the platform's services, a model engine and
 * a plain service. They speak the usual protocols over HTTP and take orders to fail. For
 * demonstrations and tests only; nothing here is shipped with the daemon.
 */
package org.gullsaddle.standin;
