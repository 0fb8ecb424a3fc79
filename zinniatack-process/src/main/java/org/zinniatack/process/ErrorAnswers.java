package org.zinniatack.process;

import com.google.common.flogger.FluentLogger;
import io.micronaut.context.annotation.Replaces;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Produces;
import io.micronaut.http.server.exceptions.ExceptionHandler;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import io.micronaut.http.server.exceptions.response.HateoasErrorResponseProcessor;
import jakarta.inject.Singleton;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Gives each failure of an HTTP call its status, body and time to come back.
 */
public final class ErrorAnswers {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long MS_PER_S = 1000;

	private ErrorAnswers() {
	}

	/**
	 * Returns the answer to a failed call.
	 * @param failure the failure
	 * @return the answer
	 */
	public static MutableHttpResponse<?> of(ServiceException failure) {
		MutableHttpResponse<ErrorBody> answer = HttpResponse
			.<ErrorBody>status(HttpStatus.valueOf(failure.code().httpStatus()))
			.contentType(MediaType.APPLICATION_JSON_TYPE)
			.body(ErrorBody.of(failure));
		if (failure.retryAfterMs() > 0) {
			answer.header("Retry-After", Long.toString((failure.retryAfterMs() + MS_PER_S - 1) / MS_PER_S));
		}
		return answer;
	}

	/** Answers failures that controllers throw. */
	@Singleton
	@Produces
	static final class ServiceExceptionHandler implements ExceptionHandler<ServiceException, HttpResponse<?>> {

		@Override
		public HttpResponse<?> handle(HttpRequest request, ServiceException failure) {
			return of(failure);
		}

	}

	/** Answers failures that the server itself finds. */
	@Singleton
	@Replaces(HateoasErrorResponseProcessor.class)
	static final class ServerErrorProcessor implements ErrorResponseProcessor<ErrorBody> {

		@Override
		public MutableHttpResponse<ErrorBody> processResponse(ErrorContext context, MutableHttpResponse<?> response) {
			int status = response.status().getCode();
			ResultCode code = codeOf(status);
			if (code == ResultCode.INTERNAL) {
				LOGGER.atSevere()
					.withCause(context.getRootCause().orElse(null))
					.log("event=call_failed path=%s status=%d", context.getRequest().getPath(), status);
			}
			return response.body(ErrorBody.of(ServiceException.of(code, context.getRequest().getPath())))
				.contentType(MediaType.APPLICATION_JSON_TYPE);
		}

		private static ResultCode codeOf(int status) {
			return switch (status) {
				case 400, 415 -> ResultCode.MALFORMED_BODY;
				case 404, 405 -> ResultCode.UNKNOWN_ROUTE;
				case 413 -> ResultCode.BODY_TOO_LARGE;
				default -> ResultCode.INTERNAL;
			};
		}

	}

}
