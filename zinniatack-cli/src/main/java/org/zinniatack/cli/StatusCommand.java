package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Tells what is in force where.
 */
@CommandLine.Command(name = "status", mixinStandardHelpOptions = true, description = "Tells what is in force where.")
final class StatusCommand implements Callable<Integer> {

	@CommandLine.Mixin
	private OperatorClient client;

	@CommandLine.Option(names = "--json", description = "print one line of JSON")
	private boolean json;

	@Override
	public Integer call() throws Exception {
		OperatorClient.print(this.client.call(HttpRequest.GET("/v1/status")), this.json);
		return 0;
	}

}
