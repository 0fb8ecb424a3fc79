package org.zinniatack.cli;

import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.process.Metrics;
import org.zinniatack.standin.StandInEngine;
import org.zinniatack.standin.StandInPlatform;
import org.zinniatack.standin.StandInService;

/**
 * Commands that run stand-ins for the external systems, for tests and trial runs.
 */
@CommandLine.Command(name = "standin", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for a model engine, a plain service or the platform.",
		subcommands = { StandInCommand.Engine.class, StandInCommand.Service.class, StandInCommand.Platform.class })
final class StandInCommand {

	private static final int CRASH_EXIT_CODE = 86;

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;

	/** Runs a stand-in model engine. */
	@CommandLine.Command(name = "engine", mixinStandardHelpOptions = true,
			description = "Runs a stand-in model engine.")
	static final class Engine implements Callable<Integer> {

		@CommandLine.Option(names = "--http", required = true, description = "the listen address, as host and port")
		private String httpAddress;

		@CommandLine.Option(names = "--weight-version", defaultValue = "1",
				description = "the weight version at the start")
		private long weightVersion;

		@CommandLine.Option(names = "--token-interval-ms", defaultValue = "5",
				description = "the time between two tokens, in milliseconds")
		private long tokenIntervalMs;

		@CommandLine.Option(names = "--load-ms", defaultValue = "200",
				description = "the time to load weights, in milliseconds")
		private long loadMs;

		@CommandLine.Option(names = "--ignores-fencing",
				description = "accept weight orders with outdated fencing numbers")
		private boolean ignoresFencing;

		@CommandLine.Option(names = "--failed-loads", defaultValue = "0",
				description = "the number of weight loads that fail before one succeeds")
		private int failedLoads;

		@CommandLine.Option(names = "--crash-prompt", defaultValue = "",
				description = "a text that makes the engine exit when a prompt contains it; empty for none")
		private String crashPrompt;

		@Override
		public Integer call() throws Exception {
			Daemon
				.of(this.httpAddress, MAXIMUM_BODY_BYTES, Metrics.registry(), List.of(),
						new StandInEngine(
								new StandInEngine.EngineOptions(this.weightVersion, this.tokenIntervalMs, this.loadMs,
										!this.ignoresFencing, this.failedLoads, this.crashPrompt),
								() -> Runtime.getRuntime().halt(CRASH_EXIT_CODE)))
				.run();
			return 0;
		}

	}

	/** Runs a stand-in plain service. */
	@CommandLine.Command(name = "service", mixinStandardHelpOptions = true,
			description = "Runs a stand-in plain service.")
	static final class Service implements Callable<Integer> {

		@CommandLine.Option(names = "--http", required = true, description = "the listen address, as host and port")
		private String httpAddress;

		@Override
		public Integer call() throws Exception {
			Daemon.of(this.httpAddress, MAXIMUM_BODY_BYTES, Metrics.registry(), List.of(), new StandInService()).run();
			return 0;
		}

	}

	/** Runs a stand-in platform. */
	@CommandLine.Command(name = "platform", mixinStandardHelpOptions = true,
			description = "Runs a stand-in platform with the interfaces for orders, usage reports and weights.")
	static final class Platform implements Callable<Integer> {

		@CommandLine.Option(names = "--http", required = true, description = "the listen address, as host and port")
		private String httpAddress;

		@Override
		public Integer call() throws Exception {
			Daemon.of(this.httpAddress, MAXIMUM_BODY_BYTES, Metrics.registry(), List.of(), new StandInPlatform()).run();
			return 0;
		}

	}

}
