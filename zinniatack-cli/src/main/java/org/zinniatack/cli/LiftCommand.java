package org.zinniatack.cli;

import java.util.concurrent.Callable;

import io.micronaut.http.HttpRequest;
import picocli.CommandLine;

/**
 * Lifts the quarantine of a request, so that it can run again.
 */
@CommandLine.Command(name = "lift", mixinStandardHelpOptions = true,
		description = "Lifts the quarantine of a request; the status command lists the digests of quarantined requests.")
final class LiftCommand implements Callable<Integer> {

	@CommandLine.Mixin
	private OperatorClient client;

	@CommandLine.Parameters(index = "0", description = "the digest of the quarantined request")
	private String digest;

	@Override
	public Integer call() throws Exception {
		OperatorClient.print(this.client.call(HttpRequest.DELETE("/v1/quarantine/" + this.digest, "")), true);
		return 0;
	}

}
