package org.gullsaddle.controller;

/**
 * Thrown when a register operation did not complete before its deadline.
 */
public class RegisterUnavailableException extends Exception {

	RegisterUnavailableException() {
		super("the register could not be settled in time");
	}

}
