package org.zinniatack.bench;

import picocli.CommandLine;

/**
 * Command line of the benchmarks.
 */
@CommandLine.Command(name = "zinniatack-bench", mixinStandardHelpOptions = true,
		description = "Benchmarks; each ends by itself and sends traffic over loopback only.",
		subcommands = { PolicyBench.class, DecisionBench.class, ControlBench.class, LatencyBench.class,
				CapacityBench.class, AgentBench.class, TokenBench.class, ReplicaBench.class })
public final class Bench {

	private Bench() {
	}

	/**
	 * Runs a benchmark and exits with its status.
	 * @param arguments the name of the benchmark and its options
	 */
	public static void main(String[] arguments) {
		System.exit(new CommandLine(new Bench()).execute(arguments));
	}

}
