package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Shows the state of a process.
 */
@CommandLine.Command(name = "dump", mixinStandardHelpOptions = true, description = "Shows the state of a process.")
final class DumpCommand implements Callable<Integer> {

	@CommandLine.Mixin
	private OperatorClient client;

	@CommandLine.Option(names = "--json", description = "print one line of JSON")
	private boolean json;

	@Override
	public Integer call() throws Exception {
		OperatorClient.print(this.client.call(HttpRequest.GET("/dump")), this.json);
		return 0;
	}

}
