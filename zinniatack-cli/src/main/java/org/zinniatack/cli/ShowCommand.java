package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Shows what a process answers to one question.
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

	/** Tells what is in force where. */
	@CommandLine.Command(name = "status", mixinStandardHelpOptions = true,
			description = "Tells what is in force where.")
	static final class Status extends ShowCommand {

		Status() {
			super("/v1/status");
		}

	}

	/** Shows the state of a process. */
	@CommandLine.Command(name = "dump", mixinStandardHelpOptions = true, description = "Shows the state of a process.")
	static final class Dump extends ShowCommand {

		Dump() {
			super("/dump");
		}

	}

}
