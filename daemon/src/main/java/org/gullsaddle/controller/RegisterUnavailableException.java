package org.gullsaddle.controller;

/**
 * An operation on a register could not be settled in time.
 */
public class RegisterUnavailableException extends Exception {

	RegisterUnavailableException() {
		super("the register could not be settled in time");
	}

}
