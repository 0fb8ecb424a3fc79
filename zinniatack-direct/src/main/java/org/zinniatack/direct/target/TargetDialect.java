package org.zinniatack.direct.target;

import java.util.Optional;
import java.util.OptionalLong;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.direct.http.TargetClient;

/**
 * How targets are spoken to: the names of headers and calls.
 */
public interface TargetDialect extends TargetClient.ResponseMatcher {

	/**
	 * Writes what the system itself tells a target about a request, in place of what the
	 * caller may have sent under the same names.
	 * @param headers the headers of the request
	 * @param context the facts to write
	 */
	void setSystemHeaders(HttpHeaders headers, RequestContext context);

	/**
	 * Writes the id of a request that the system makes from what a caller submitted.
	 * @param headers the headers of the request
	 * @param requestId the id
	 */
	void setRequestId(HttpHeaders headers, String requestId);

	/**
	 * Returns what a target says about its answer.
	 * @param response the head of the answer
	 * @return what became of the request
	 */
	RequestOutcome outcome(HttpResponse response);

	/**
	 * Returns the mark by which callers know a target's answer.
	 * @param response the head of the answer
	 * @return the mark, or empty if there is none
	 */
	Optional<String> seal(HttpResponse response);

	/**
	 * Returns the weight version under which an answer begins.
	 * @param response the head of the answer
	 * @return the version, or empty if none is stated
	 */
	OptionalLong weightVersion(HttpResponse response);

	/**
	 * Returns the weight version that a line of an event stream announces.
	 * @param line the line
	 * @return the version, or empty if the line is about something else
	 */
	OptionalLong weightVersion(String line);

	/**
	 * Returns the load that a target states with its answer.
	 * @param response the head of the answer
	 * @return the load, or empty if none is stated
	 */
	Optional<ReportedLoad> reportedLoad(HttpResponse response);

	/**
	 * Returns whether a target says with its answer that it is about to leave.
	 * @param response the head of the answer
	 * @return true if it takes nothing new
	 */
	boolean isLeaving(HttpResponse response);

	/**
	 * Returns a request for what a target reports of its state.
	 * @param targetId the id of the target
	 * @return the request
	 */
	FullHttpRequest reportRequest(String targetId);

	/**
	 * Reads what a target reports of its state.
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

	/** What became of a request, by the target's own word. */
	enum RequestOutcome {

		/** The target ran it and this is its answer. */
		ANSWERED,

		/** The target ran it and failed. */
		FAILED,

		/** The target had no room and did not run it. */
		NOT_RUN,

		/** Another target has this address; it did not run the request. */
		WRONG_TARGET

	}

	/**
	 * What the system tells a target about a request.
	 *
	 * @param targetId the id of the target that must run it
	 * @param customer the customer, or null on open routes
	 * @param deadlineMs the time that is left, in milliseconds
	 * @param resumeAfterEvent the last event that is known, or 0 to begin
	 */
	record RequestContext(String targetId, @Nullable String customer, long deadlineMs, long resumeAfterEvent) {
	}

	/**
	 * The load that a target states with an answer.
	 *
	 * @param runningCount the running requests
	 * @param waitingCount the waiting requests
	 * @param slotCount the requests that it runs at once
	 */
	record ReportedLoad(int runningCount, int waitingCount, int slotCount) {
	}

	/**
	 * What a target reports of its state.
	 *
	 * @param busy true while it carries out an order
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
	 * @param keepRunning true if running requests go on under the new version, false if
	 * they finish first
	 * @param fencingNumber the number of the sender's term
	 * @param orderCount the number of orders that the target has accepted so far; with
	 * another number it refuses
	 */
	record LoadOrder(String targetId, String model, long version, boolean keepRunning, long fencingNumber,
			long orderCount) {
	}

}
