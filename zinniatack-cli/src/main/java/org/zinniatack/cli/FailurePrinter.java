package org.zinniatack.cli;

import picocli.CommandLine;

import org.zinniatack.core.result.ServiceException;

/**
 * Prints the failure of a command to standard error, with its result code if it has one.
 */
final class FailurePrinter implements CommandLine.IExecutionExceptionHandler {

	private static final int FAILURE_EXIT_STATUS = 1;

	@Override
	public int handleExecutionException(Exception failure, CommandLine command, CommandLine.ParseResult result) {
		String message = (failure instanceof ServiceException serviceFailure)
				? "error " + serviceFailure.code().number() + ": " + serviceFailure.code().description() + " "
						+ serviceFailure.getMessage()
				: "error: " + failure;
		command.getErr().println(message);
		return FAILURE_EXIT_STATUS;
	}

}
