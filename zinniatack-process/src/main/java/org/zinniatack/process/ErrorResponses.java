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
 * Maps failures of HTTP calls to responses with a status, an error body and, if a retry
 * can help, a Retry-After header.
 */
public final class ErrorResponses {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final long MS_PER_SECOND = 1000;

	private ErrorResponses() {
	}

	/**
	 * Returns the error response to a failed call.
	 * @param failure the failure
	 * @return the response
	 */
	public static MutableHttpResponse<?> of(ServiceException failure) {
		MutableHttpResponse<ErrorBody> response = HttpResponse
			.<ErrorBody>status(HttpStatus.valueOf(failure.code().httpStatus()))
			.contentType(MediaType.APPLICATION_JSON_TYPE)
			.body(ErrorBody.of(failure));
		if (failure.retryAfterMs() > 0) {
			response.header("Retry-After", Long.toString((failure.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND));
		}
		return response;
	}

	/** Handles exceptions thrown by controllers. */
	@Singleton
	@Produces
	static final class ServiceExceptionHandler implements ExceptionHandler<ServiceException, HttpResponse<?>> {

		@Override
		public HttpResponse<?> handle(HttpRequest request, ServiceException failure) {
			return of(failure);
		}

	}

	/** Handles errors detected by the HTTP server, such as an unknown path. */
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
