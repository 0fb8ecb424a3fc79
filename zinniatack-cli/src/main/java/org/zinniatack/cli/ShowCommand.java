package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Prints the response of a process to a GET request for a fixed path.
 */
abstract class ShowCommand implements Callable<Integer> {

	private final String path;

	@CommandLine.Mixin
	private OperatorClient client;

	@CommandLine.Option(names = "--json", description = "print one line of JSON")
	private boolean json;

	ShowCommand(String path) {
		this.path = path;
	}

	@Override
	public Integer call() throws Exception {
		OperatorClient.print(this.client.call(HttpRequest.GET(this.path)), this.json);
		return 0;
	}

	/** Prints the status of the system as control knows it. */
	@CommandLine.Command(name = "status", mixinStandardHelpOptions = true,
			description = "Shows the records' revision, the number of entries and agents that have it in force, and the targets.")
	static final class Status extends ShowCommand {

		Status() {
			super("/v1/status");
		}

	}

	/** Prints the internal state of a process. */
	@CommandLine.Command(name = "dump", mixinStandardHelpOptions = true,
			description = "Shows the internal state of a process.")
	static final class Dump extends ShowCommand {

		Dump() {
			super("/dump");
		}

	}

}
