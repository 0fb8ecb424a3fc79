package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Drains a target or puts it back into service.
 */
@CommandLine.Command(name = "drain", mixinStandardHelpOptions = true,
		description = "Drains a target: it finishes its running work and gets no new work.")
final class DrainCommand implements Callable<Integer> {

	@CommandLine.Mixin
	private OperatorClient client;

	@CommandLine.Parameters(index = "0", description = "the id of the target")
	private String targetId;

	@CommandLine.Option(names = "--undo", description = "put the target back into service")
	private boolean undo;

	@Override
	public Integer call() throws Exception {
		OperatorClient.print(
				this.client.call(HttpRequest.POST("/v1/targets/" + this.targetId + "/drain?leaving=" + !this.undo, "")),
				true);
		return 0;
	}

}
