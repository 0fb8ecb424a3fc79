package org.zinniatack.cli;

import picocli.CommandLine;

import org.zinniatack.core.result.ServiceException;

/**
 * Prints failures with their result code.
 */
final class FailurePrinter implements CommandLine.IExecutionExceptionHandler {

	private static final int FAILED = 1;

	@Override
	public int handleExecutionException(Exception failure, CommandLine command, CommandLine.ParseResult result) {
		String text = (failure instanceof ServiceException known)
				? "error " + known.code().number() + ": " + known.code().description() + " " + known.getMessage()
				: "error: " + failure;
		command.getErr().println(text);
		return FAILED;
	}

}
