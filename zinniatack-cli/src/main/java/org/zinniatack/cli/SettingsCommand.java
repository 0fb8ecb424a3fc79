package org.zinniatack.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.agent.AgentSettings;
import org.zinniatack.control.ControlSettings;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.entry.EntrySettings;
import org.zinniatack.process.Settings;

/**
 * Checks that a settings file is valid for a kind of process.
 */
@CommandLine.Command(name = "settings", mixinStandardHelpOptions = true,
		description = "Checks that a settings file is valid.")
final class SettingsCommand implements Callable<Integer> {

	@CommandLine.Parameters(index = "0", description = "the kind of process: control, entry or agent")
	private ProcessKind kind;

	@CommandLine.Parameters(index = "1", description = "the settings file")
	private Path file;

	@Override
	public Integer call() throws ServiceException {
		switch (this.kind) {
			case control -> Settings.read(this.file, ControlSettings.class);
			case entry -> Settings.read(this.file, EntrySettings.class);
			case agent -> Settings.read(this.file, AgentSettings.class);
		}
		System.out.println(this.file + ": valid");
		return 0;
	}

	/** Kinds of processes. The constants are the values of the command-line parameter. */
	enum ProcessKind {

		/** A control process. */
		control,

		/** An entry process. */
		entry,

		/** An agent process. */
		agent

	}

}
