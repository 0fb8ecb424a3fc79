package org.zinniatack.cli;

import picocli.AutoComplete;
import picocli.CommandLine;

/**
 * Main class of the command {@code zinniatack}.
 */
@CommandLine.Command(name = "zinniatack", mixinStandardHelpOptions = true, version = "zinniatack 0.1.0",
		description = "A rollout service for reinforcement learning.",
		subcommands = { DaemonCommands.Control.class, DaemonCommands.Entry.class, DaemonCommands.Agent.class,
				StandInCommand.class, RecordCommand.class, KeyCommand.class, ShowCommand.Status.class,
				ShowCommand.Dump.class, DrainCommand.class, LiftCommand.class, RecoverCommand.class,
				SettingsCommand.class, CodeCommand.class, TourCommand.class, AutoComplete.GenerateCompletion.class })
public final class Zinniatack {

	private Zinniatack() {
	}

	/**
	 * Runs a command and exits with status 0 on success, 1 on a failure, or 2 on an
	 * invalid command line. A failure is printed with its result code.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(commandLine().execute(arguments));
	}

	static CommandLine commandLine() {
		return new CommandLine(new Zinniatack()).setExecutionExceptionHandler(new FailurePrinter());
	}

}
