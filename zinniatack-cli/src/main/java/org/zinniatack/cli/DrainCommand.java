package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Makes a target leave.
 */
@CommandLine.Command(name = "drain", mixinStandardHelpOptions = true,
		description = "Makes a target accept no new work, or lets it serve again.")
final class DrainCommand implements Callable<Integer> {

	@CommandLine.Mixin
	private OperatorClient client;

	@CommandLine.Parameters(index = "0", description = "the id of the target")
	private String targetId;

	@CommandLine.Option(names = "--undo", description = "let the target serve again")
	private boolean undo;

	@Override
	public Integer call() throws Exception {
		OperatorClient.print(
				this.client.call(HttpRequest.POST("/v1/targets/" + this.targetId + "/drain?leaving=" + !this.undo, "")),
				true);
		return 0;
	}

}
