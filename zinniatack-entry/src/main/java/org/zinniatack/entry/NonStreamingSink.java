package org.zinniatack.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.micronaut.http.HttpResponse;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.ErrorAnswers;

/**
 * Sends an answer to a caller once it is whole.
 */
final class NonStreamingSink implements AnswerSink {

	private final Function<Answer, HttpResponse<?>> form;

	private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();

	NonStreamingSink(Function<Answer, HttpResponse<?>> form) {
		this.form = form;
	}

	CompletableFuture<HttpResponse<?>> response() {
		return this.response;
	}

	@Override
	public void complete(Answer answer) {
		this.response.complete(this.form.apply(answer));
	}

	@Override
	public void fail(ServiceException failure) {
		this.response.complete(ErrorAnswers.of(failure));
	}

}
