package org.zinniatack.bench;

import picocli.CommandLine;

/**
 * The command that runs measurements.
 */
@CommandLine.Command(name = "zinniatack-bench", mixinStandardHelpOptions = true,
		description = "Measurements; each ends by itself and loads loopback only.",
		subcommands = { PolicyBench.class, DecisionBench.class, ControlBench.class, LatencyBench.class,
				CapacityBench.class, AgentBench.class, TokenBench.class, ReplicaBench.class })
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs a measurement.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new Bench()).execute(arguments));
	}

}
