package org.zinniatack.cli;

import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine;

import org.zinniatack.process.Metrics;
import org.zinniatack.standin.StandInEngine;
import org.zinniatack.standin.StandInPlatform;
import org.zinniatack.standin.StandInService;

/**
 * Runs a stand-in for a system around.
 */
@CommandLine.Command(name = "standin", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for a model engine, a plain service or the platform.",
		subcommands = { StandInCommand.Engine.class, StandInCommand.Service.class, StandInCommand.Platform.class })
final class StandInCommand {

	private static final int CRASH_EXIT_CODE = 86;

	private static final int BODY_BYTES = 64 * 1024 * 1024;

	/** Runs a stand-in engine. */
	@CommandLine.Command(name = "engine", mixinStandardHelpOptions = true, description = "A model engine.")
	static final class Engine implements Callable<Integer> {

		@CommandLine.Option(names = "--http", required = true, description = "host and port")
		private String http;

		@CommandLine.Option(names = "--weight-version", defaultValue = "1", description = "the version at the start")
		private long weightVersion;

		@CommandLine.Option(names = "--token-interval-ms", defaultValue = "5", description = "time between tokens")
		private long tokenIntervalMs;

		@CommandLine.Option(names = "--load-ms", defaultValue = "200", description = "time to load weights")
		private long loadMs;

		@CommandLine.Option(names = "--ignores-fencing", description = "takes orders with old fencing numbers")
		private boolean ignoresFencing;

		@CommandLine.Option(names = "--failed-loads", defaultValue = "0", description = "loads that fail first")
		private int failedLoads;

		@CommandLine.Option(names = "--crash-prompt", defaultValue = "", description = "a text that ends the engine")
		private String crashPrompt;

		@Override
		public Integer call() throws Exception {
			Daemon
				.of(this.http, BODY_BYTES, Metrics.registry(), List.of(),
						new StandInEngine(
								new StandInEngine.EngineOptions(this.weightVersion, this.tokenIntervalMs, this.loadMs,
										!this.ignoresFencing, this.failedLoads, this.crashPrompt),
								() -> Runtime.getRuntime().halt(CRASH_EXIT_CODE)))
				.run();
			return 0;
		}

	}

	/** Runs a stand-in service. */
	@CommandLine.Command(name = "service", mixinStandardHelpOptions = true, description = "A plain service.")
	static final class Service implements Callable<Integer> {

		@CommandLine.Option(names = "--http", required = true, description = "host and port")
		private String http;

		@Override
		public Integer call() throws Exception {
			Daemon.of(this.http, BODY_BYTES, Metrics.registry(), List.of(), new StandInService()).run();
			return 0;
		}

	}

	/** Runs a stand-in platform. */
	@CommandLine.Command(name = "platform", mixinStandardHelpOptions = true,
			description = "The platform's order, usage and weight interfaces.")
	static final class Platform implements Callable<Integer> {

		@CommandLine.Option(names = "--http", required = true, description = "host and port")
		private String http;

		@Override
		public Integer call() throws Exception {
			Daemon.of(this.http, BODY_BYTES, Metrics.registry(), List.of(), new StandInPlatform()).run();
			return 0;
		}

	}

}
