package org.zinniatack.gateway.target;

import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.gateway.http.TargetClient;

/**
 * The HTTP protocol of a kind of targets: its headers, requests and message formats.
 */
public interface TargetProtocol extends TargetClient.RequestIds {

	/**
	 * Sets the headers that the system controls, and removes those of the same names that
	 * the caller may have sent.
	 * @param headers the headers of the request
	 * @param context the values of the headers
	 */
	void setSystemHeaders(HttpHeaders headers, RequestContext context);

	/**
	 * Sets the id of a request that the system creates for a submitted item.
	 * @param headers the headers of the request
	 * @param requestId the id
	 */
	void setRequestId(HttpHeaders headers, String requestId);

	/**
	 * Returns the outcome of a request, as reported by the answer of the target.
	 * @param response the head of the answer
	 * @return the outcome of the request
	 */
	RequestOutcome outcome(HttpResponse response);

	/**
	 * Returns whether callers take the status of a response to mean that the request did
	 * not run.
	 * @param response the head of the answer
	 * @return true if a target's response with this status is not passed on unless the
	 * target states that it did not run the request
	 */
	boolean meansNotRun(HttpResponse response);

	/**
	 * Returns the seal by which callers verify that an answer comes from a target.
	 * @param response the head of the answer
	 * @return the seal, or empty if there is none
	 */
	Optional<String> seal(HttpResponse response);

	/**
	 * Returns the weight version that generates the beginning of an answer.
	 * @param response the head of the answer
	 * @return the version, or empty if the answer does not report one
	 */
	OptionalLong weightVersion(HttpResponse response);

	/**
	 * Returns the weight version that a line of an event stream announces.
	 * @param line the line
	 * @return the version, or empty if the line announces none
	 */
	OptionalLong weightVersion(String line);

	/**
	 * Returns the load that a target reports with its answer.
	 * @param response the head of the answer
	 * @return the load, or empty if the answer does not report one
	 */
	Optional<ReportedLoad> reportedLoad(HttpResponse response);

	/**
	 * Returns whether a target announces with its answer that it is about to leave.
	 * @param response the head of the answer
	 * @return true if it accepts no new requests
	 */
	boolean isLeaving(HttpResponse response);

	/**
	 * Returns how much longer a target is cold.
	 * @param response the head of the answer
	 * @return the time in milliseconds, 0 if the answer does not say that it is cold
	 */
	default long coldRemainingMs(HttpResponse response) {
		return 0;
	}

	/**
	 * Returns a request for the state of a target.
	 * @param targetId the id of the target
	 * @return the request
	 */
	FullHttpRequest reportRequest(String targetId);

	/**
	 * Decodes the state of a target.
	 * @param body the body of the answer
	 * @return the state
	 * @throws ServiceException if the body cannot be read
	 */
	TargetReport report(byte[] body) throws ServiceException;

	/**
	 * Returns a request that orders a target to load a weight version.
	 * @param order the order
	 * @return the request
	 */
	FullHttpRequest loadRequest(LoadOrder order);

	/** The outcome of a request as reported by the target. */
	enum RequestOutcome {

		/** The target processed the request and this is its answer. */
		ANSWERED,

		/** The target processed the request and failed. */
		FAILED,

		/** The target had no free slot and did not process the request. */
		NOT_RUN,

		/** Another target has this address now and did not process the request. */
		WRONG_TARGET

	}

	/**
	 * The values of the headers that the system controls.
	 *
	 * @param targetId the id of the target that must process the request
	 * @param customer the customer, or null on open routes
	 * @param deadlineMs the remaining time, in milliseconds
	 * @param resumeAfterEvent the id of the event after which the target resumes an
	 * output, or 0 to start from the beginning
	 */
	record RequestContext(String targetId, @Nullable String customer, long deadlineMs, long resumeAfterEvent) {
	}

	/**
	 * The load that a target reports with an answer.
	 *
	 * @param runningCount the number of running requests
	 * @param waitingCount the number of queued requests
	 * @param slotCount the number of requests that the target runs at once
	 * @param workPercent how long work takes there at the moment, in per cent of the
	 * usual, 0 if the target does not state it
	 */
	record ReportedLoad(int runningCount, int waitingCount, int slotCount, int workPercent) {

		/**
		 * Creates the load of a target that does not state how long work takes.
		 * @param runningCount the number of running requests
		 * @param waitingCount the number of queued requests
		 * @param slotCount the number of requests that the target runs at once
		 */
		public ReportedLoad(int runningCount, int waitingCount, int slotCount) {
			this(runningCount, waitingCount, slotCount, 0);
		}

	}

	/**
	 * The state of a target.
	 *
	 * @param busy true if the target is executing an order
	 * @param orderCount the number of orders that it has accepted since its start
	 * @param weightVersions the loaded weight version by model
	 */
	record TargetReport(boolean busy, long orderCount, java.util.Map<String, Long> weightVersions) {
	}

	/**
	 * An order to load a weight version.
	 *
	 * @param targetId the id of the target
	 * @param model the model
	 * @param version the version
	 * @param keepRunning true if running requests continue under the new version, false
	 * if they finish before the load
	 * @param fencingNumber the term of the sender
	 * @param orderCount the number of orders that the target has accepted so far; it
	 * refuses the order if the number differs
	 */
	record LoadOrder(String targetId, String model, long version, boolean keepRunning, long fencingNumber,
			long orderCount) {
	}

}
