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
 * Checks a settings file.
 */
@CommandLine.Command(name = "settings", mixinStandardHelpOptions = true, description = "Checks a settings file.")
final class SettingsCommand implements Callable<Integer> {

	@CommandLine.Parameters(index = "0", description = "control, entry or agent")
	private Role role;

	@CommandLine.Parameters(index = "1", description = "the settings file")
	private Path file;

	@Override
	public Integer call() throws ServiceException {
		switch (this.role) {
			case control -> Settings.read(this.file, ControlSettings.class);
			case entry -> Settings.read(this.file, EntrySettings.class);
			case agent -> Settings.read(this.file, AgentSettings.class);
		}
		System.out.println(this.file + ": right");
		return 0;
	}

	/** The roles, as they are written on the command line. */
	enum Role {

		/** A control process. */
		control,

		/** An entry process. */
		entry,

		/** An agent process. */
		agent

	}

}
