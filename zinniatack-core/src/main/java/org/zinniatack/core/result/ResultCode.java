package org.zinniatack.core.result;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered result codes of responses, logs and process exits. The table in
 * {@code docs/RESULT-CODES.md} lists them all.
 */
public enum ResultCode {

	/** The request succeeded. */
	OK(0, 200, Outcome.RAN, "The request succeeded."),

	/** The body is not well-formed. */
	MALFORMED_BODY(1001, 400, Outcome.NOT_RUN, "The body is not well-formed JSON."),

	/** The body exceeds the size limit. */
	BODY_TOO_LARGE(1002, 413, Outcome.NOT_RUN, "The body exceeds the size limit."),

	/** No route matches. */
	UNKNOWN_ROUTE(1003, 404, Outcome.NOT_RUN, "No route has this name."),

	/** The route needs a key. */
	KEY_MISSING(1004, 401, Outcome.NOT_RUN, "The route needs a key and none was sent."),

	/** The key is unknown. */
	KEY_UNKNOWN(1005, 401, Outcome.NOT_RUN, "The key is unknown."),

	/** The key was withdrawn. */
	KEY_WITHDRAWN(1006, 401, Outcome.UNKNOWN, "The key was withdrawn while its request was running."),

	/** The customer may not use the route. */
	ROUTE_FORBIDDEN(1007, 403, Outcome.NOT_RUN, "The route does not serve the customer of this key."),

	/** A field is missing or has a wrong value. */
	FIELD_INVALID(1008, 400, Outcome.NOT_RUN, "A field is missing or has a wrong value."),

	/** The route needs an idempotency key. */
	IDEMPOTENCY_KEY_MISSING(1009, 400, Outcome.NOT_RUN,
			"The route may not be repeated and needs an Idempotency-Key header."),

	/** The idempotency key was used with another body. */
	IDEMPOTENCY_KEY_REUSED(1010, 422, Outcome.NOT_RUN, "The idempotency key was used before with another request."),

	/** The key was withdrawn before the request ran. */
	KEY_WITHDRAWN_QUEUED(1011, 401, Outcome.NOT_RUN, "The key was withdrawn while its request was queued."),

	/** The request carries the caller's key outside the header. */
	KEY_IN_REQUEST(1012, 400, Outcome.NOT_RUN,
			"The path, query or body holds the caller's key, which no target may see."),

	/** The customer has reached a limit of its policy. */
	CUSTOMER_LIMIT_REACHED(2001, 429, Outcome.NOT_RUN, "The customer has reached a limit of its policy."),

	/** The request cannot start within its queue time. */
	DEADLINE_UNREACHABLE(2002, 503, Outcome.NOT_RUN, "The request cannot start within the queue time of its policy."),

	/** No target serves the route. */
	NO_TARGET(2003, 503, Outcome.NOT_RUN, "No target that serves the route is available."),

	/** The target is at capacity. */
	TARGET_BUSY(2004, 503, Outcome.NOT_RUN, "The target is at capacity and did not start the request."),

	/** The process is shutting down. */
	SHUTTING_DOWN(2005, 503, Outcome.NOT_RUN, "The process is shutting down."),

	/** The lease expired without contact with a quorum of control processes. */
	AUTHORITY_EXPIRED(2006, 503, Outcome.NOT_RUN,
			"The process has not heard from a quorum of the control processes within the lease and accepts no key."),

	/** The target is draining. */
	TARGET_LEAVING(2007, 503, Outcome.NOT_RUN, "The target is leaving and accepts no new work."),

	/** The request is quarantined. */
	QUARANTINED(2008, 422, Outcome.NOT_RUN, "The request crashed targets before and is quarantined."),

	/** The spending ceiling is reached. */
	SPENDING_CEILING_REACHED(2009, 429, Outcome.NOT_RUN, "The customer has reached the spending ceiling."),

	/** No target may continue the stream. */
	STREAM_NOT_CONTINUABLE(2010, 503, Outcome.NOT_RUN,
			"No target of the software version that began the stream is available, or it is not known which began it."),

	/** The submission may have been held back since before the job was ended. */
	SUBMISSION_STALE(2011, 503, Outcome.NOT_RUN,
			"The job may have been ended after it was submitted, so long ago that this is not remembered."),

	/** The request may have run. */
	OUTCOME_UNKNOWN(3001, 502, Outcome.UNKNOWN, "The target was lost and it is unknown whether the request ran."),

	/** The response ended early. */
	ANSWER_CUT_SHORT(3002, 502, Outcome.UNKNOWN, "The answer ended before it was whole."),

	/** An earlier attempt has an unknown outcome. */
	NOT_REPEATED(3003, 409, Outcome.UNKNOWN,
			"An earlier attempt with this idempotency key has an unknown outcome and is not repeated."),

	/** An earlier attempt is still running. */
	IN_PROGRESS(3004, 409, Outcome.UNKNOWN, "An earlier attempt with this idempotency key is still running."),

	/** Contact with the control processes was lost while the request ran. */
	AUTHORITY_LOST(3005, 503, Outcome.UNKNOWN,
			"The process lost contact with the control processes while the request was running and no longer accepts its key."),

	/** The target crashed. */
	TARGET_CRASHED(3006, 502, Outcome.UNKNOWN, "The target crashed while it ran the request."),

	/** The deadline passed while the request ran. */
	DEADLINE_EXCEEDED(3007, 504, Outcome.UNKNOWN, "The deadline passed while the request was running."),

	/** The target answered with an error. */
	TARGET_FAILED(3101, 502, Outcome.RAN, "The target answered with an error."),

	/** The record has another revision. */
	REVISION_CONFLICT(4001, 409, Outcome.NOT_RUN, "The record has another revision than the expected one."),

	/** The schema version is unknown. */
	SCHEMA_UNKNOWN(4002, 400, Outcome.NOT_RUN, "The schema version is unknown for this kind of record."),

	/** The record is invalid. */
	RECORD_INVALID(4003, 400, Outcome.NOT_RUN, "The record has a missing, unknown or wrong field."),

	/** No record has this kind and name. */
	RECORD_UNKNOWN(4004, 404, Outcome.NOT_RUN, "No record has this kind and name."),

	/** An operator's key is needed. */
	OPERATOR_KEY_REQUIRED(4005, 401, Outcome.NOT_RUN, "The call needs a valid operator's key."),

	/** This replica is not the leader. */
	NOT_LEADER(4006, 503, Outcome.NOT_RUN, "This replica does not lead and knows no leader to forward to."),

	/** The change was not accepted. */
	NOT_ACCEPTED(4007, 503, Outcome.NOT_RUN, "The change was not accepted and will not take effect."),

	/** The change may have been accepted. */
	CHANGE_UNDECIDED(4008, 504, Outcome.UNKNOWN,
			"It is unknown whether the change was accepted; resend it with the same request id."),

	/** A referenced record is missing. */
	REFERENCE_UNKNOWN(4009, 409, Outcome.NOT_RUN, "The record refers to a record that does not exist."),

	/** The request id was used for another change. */
	REQUEST_ID_REUSED(4010, 409, Outcome.NOT_RUN, "The request id was used before for another change."),

	/** The replicated state is full. */
	STATE_FULL(4011, 503, Outcome.NOT_RUN,
			"The replicated state has no room for the change and all that it is expected to add; "
					+ "Retry-After says when older jobs may be removed."),

	/** The change is too large for the replicated state. */
	CHANGE_TOO_LARGE(4012, 413, Outcome.NOT_RUN, "The change by itself exceeds the limit of the replicated state."),

	/** The customer has no step with this name. */
	STEP_UNKNOWN(4101, 404, Outcome.NOT_RUN, "The customer has no step with this name."),

	/** The batch is not complete yet. */
	STEP_INCOMPLETE(4102, 409, Outcome.RAN, "The batch of the step is not whole yet."),

	/** The step was released. */
	STEP_RELEASED(4103, 410, Outcome.RAN, "The batch was delivered and released."),

	/** The step exists with other groups. */
	STEP_MISMATCH(4104, 409, Outcome.NOT_RUN, "The step exists with other groups."),

	/** The engine stated no weight version for a sample. */
	SAMPLE_UNATTRIBUTED(4105, 502, Outcome.RAN, "The engine stated no weight version for the sample."),

	/** A sample is older than its policy allows. */
	SAMPLE_TOO_OLD(4106, 409, Outcome.RAN, "The sample is older than the bound of its policy."),

	/** A call without a customer may mean jobs of several customers. */
	JOB_AMBIGUOUS(4107, 409, Outcome.NOT_RUN,
			"Several customers have a job of this name, and the configuration names no customers to tell them apart."),

	/** A frame exceeds the size limit. */
	FRAME_TOO_LARGE(5001, 500, Outcome.NOT_RUN, "A frame exceeds the size limit."),

	/** The handshake was refused. */
	HANDSHAKE_REFUSED(5002, 500, Outcome.NOT_RUN, "The peer does not hold the cluster secret or sent no handshake."),

	/** The protocol versions differ. */
	PROTOCOL_VERSION_UNKNOWN(5003, 500, Outcome.NOT_RUN, "The peer speaks another version of the protocol."),

	/** The frame cannot be decoded. */
	FRAME_MALFORMED(5004, 500, Outcome.NOT_RUN, "A frame cannot be decoded."),

	/** The connection was lost. */
	PEER_LOST(5005, 502, Outcome.UNKNOWN, "The connection to the peer was lost."),

	/** The order carries an outdated fencing token. */
	FENCED(5006, 409, Outcome.NOT_RUN, "The order carries an older fencing number than one already seen."),

	/** The peer did not answer in time. */
	CALL_TIMED_OUT(5007, 504, Outcome.UNKNOWN, "The peer did not answer in time."),

	/** A record before the end of the log is corrupt. */
	LOG_CORRUPT(5101, 500, Outcome.NOT_RUN,
			"A record before the end of the log is corrupt; restore the data folder or empty it to join as a learner."),

	/** The data folder is in use. */
	FOLDER_LOCKED(5102, 500, Outcome.NOT_RUN, "Another process holds the data folder."),

	/** A write to the disk failed. */
	DISK_FULL(5103, 507, Outcome.NOT_RUN, "The disk refused a write; state stays readable, changes are refused."),

	/** The data folder has an unknown format version. */
	FORMAT_UNKNOWN(5104, 500, Outcome.NOT_RUN, "The data folder was written in an unknown format version."),

	/** The data folder is empty. */
	FOLDER_EMPTY(5105, 500, Outcome.NOT_RUN, "The data folder holds no state."),

	/** No process may form the system. */
	SYSTEM_NOT_FORMED(5106, 500, Outcome.NOT_RUN,
			"Every control process has an empty data folder and none may form the system; "
					+ "set firstStart on the seeds if it has never run, or bring back a data folder."),

	/** The settings are invalid. */
	SETTINGS_INVALID(5201, 500, Outcome.NOT_RUN, "The settings file has a missing, unknown or wrong field."),

	/** Another socket listens on the address. */
	ADDRESS_IN_USE(5202, 500, Outcome.NOT_RUN, "Another socket listens on the address; the start waits for it."),

	/** An unexpected error. */
	INTERNAL(5999, 500, Outcome.UNKNOWN, "An unexpected failure; the log has its cause.");

	private final int number;

	private final int httpStatus;

	private final Outcome outcome;

	private final String description;

	ResultCode(int number, int httpStatus, Outcome outcome, String description) {
		this.number = number;
		this.httpStatus = httpStatus;
		this.outcome = outcome;
		this.description = description;
	}

	/**
	 * Finds a code by its number.
	 * @param number the number
	 * @return the code, or empty if no code has the number
	 */
	public static Optional<ResultCode> ofNumber(int number) {
		return Arrays.stream(values()).filter((code) -> code.number == number).findFirst();
	}

	/**
	 * Returns the description of the code, a sentence for callers.
	 * @return the description
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns the HTTP status with which the code is sent.
	 * @return the HTTP status
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the number that identifies the code in responses, logs and process exits.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns whether the request was executed, as far as the code implies.
	 * @return the outcome
	 */
	public Outcome outcome() {
		return this.outcome;
	}

}
