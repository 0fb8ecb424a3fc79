package org.zinniatack.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import picocli.CommandLine;

import org.zinniatack.agent.AgentService;
import org.zinniatack.agent.AgentSettings;
import org.zinniatack.control.ControlService;
import org.zinniatack.control.ControlSettings;
import org.zinniatack.entry.EntryService;
import org.zinniatack.entry.EntrySettings;
import org.zinniatack.process.Metrics;
import org.zinniatack.process.OperatorKeys;
import org.zinniatack.process.Settings;

/**
 * Commands that each run one process of the system.
 */
final class DaemonCommands {

	private static final int MAXIMUM_OPERATOR_BODY_BYTES = 1024 * 1024;

	private DaemonCommands() {
	}

	/** Base class of the commands that run a process with a settings file. */
	abstract static class DaemonCommand implements Callable<Integer> {

		@CommandLine.Option(names = "--settings", required = true,
				description = "the settings file, JSON with comments")
		private Path settings;

		Path settings() {
			return this.settings;
		}

		abstract Daemon daemon() throws Exception;

		@Override
		public Integer call() throws Exception {
			daemon().run();
			return 0;
		}

	}

	/** Runs a control process. */
	@CommandLine.Command(name = "control", mixinStandardHelpOptions = true, description = "Runs a control process.")
	static final class Control extends DaemonCommand {

		@Override
		Daemon daemon() throws Exception {
			ControlSettings settings = Settings.read(settings(), ControlSettings.class);
			ControlService service = new ControlService(settings);
			return Daemon.of(settings.httpAddress(), MAXIMUM_OPERATOR_BODY_BYTES, Metrics.registry(), List.of(service),
					service, OperatorKeys.of(settings.operatorKeyDigests()));
		}

	}

	/** Runs an entry process. */
	@CommandLine.Command(name = "entry", mixinStandardHelpOptions = true, description = "Runs an entry process.")
	static final class Entry extends DaemonCommand {

		@Override
		Daemon daemon() throws Exception {
			EntrySettings settings = Settings.read(settings(), EntrySettings.class);
			PrometheusMeterRegistry metrics = Metrics.registry();
			EntryService service = new EntryService(settings, metrics);
			return Daemon.of(settings.httpAddress(), settings.maximumBodyBytes(), metrics, List.of(service), service,
					OperatorKeys.of(settings.operatorKeyDigests()));
		}

	}

	/** Runs an agent process. */
	@CommandLine.Command(name = "agent", mixinStandardHelpOptions = true,
			description = "Runs the agent process beside a target.")
	static final class Agent extends DaemonCommand {

		@Override
		Daemon daemon() throws Exception {
			AgentSettings settings = Settings.read(settings(), AgentSettings.class);
			AgentService service = new AgentService(settings);
			return Daemon.of(settings.httpAddress(), MAXIMUM_OPERATOR_BODY_BYTES, Metrics.registry(), List.of(service),
					service, OperatorKeys.of(settings.operatorKeyDigests()));
		}

	}

}
