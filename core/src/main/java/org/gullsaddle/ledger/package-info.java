/**
 * The ledger: the record of each request, the hash chain that reveals removed or changed
 * records, and the bills, which count each request once however often it was written.
 */
package org.gullsaddle.ledger;
