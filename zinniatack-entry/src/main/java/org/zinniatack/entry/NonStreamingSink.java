package org.zinniatack.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.micronaut.http.HttpResponse;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.ErrorResponses;

/**
 * Sends the complete answer to the caller as one HTTP response.
 */
final class NonStreamingSink implements AnswerSink {

	private final Function<Answer, HttpResponse<?>> toResponse;

	private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();

	NonStreamingSink(Function<Answer, HttpResponse<?>> toResponse) {
		this.toResponse = toResponse;
	}

	CompletableFuture<HttpResponse<?>> response() {
		return this.response;
	}

	@Override
	public void complete(Answer answer) {
		this.response.complete(this.toResponse.apply(answer));
	}

	@Override
	public void fail(ServiceException failure) {
		this.response.complete(ErrorResponses.of(failure));
	}

}
