package org.zinniatack.core.state;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * What the replicated state answers to a command.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({ @JsonSubTypes.Type(value = Reply.Accepted.class, name = "ok"),
		@JsonSubTypes.Type(value = Reply.Refused.class, name = "no"),
		@JsonSubTypes.Type(value = Reply.Intent.class, name = "intent"),
		@JsonSubTypes.Type(value = Reply.Slots.class, name = "slots") })
public sealed interface Reply {

	/**
	 * Returns the refusal that an exception stands for.
	 * @param failure the exception
	 * @return the refusal
	 */
	static Refused refused(ServiceException failure) {
		return new Refused(failure.code(), String.valueOf(failure.getMessage()), failure.retryAfterMs());
	}

	/**
	 * Returns this reply unless it is a refusal.
	 * @return this reply
	 * @throws ServiceException with the code of the refusal
	 */
	default Reply orThrow() throws ServiceException {
		if (this instanceof Refused refused) {
			throw ServiceException.retryable(refused.code(), refused.detail(), refused.retryAfterMs());
		}
		return this;
	}

	/**
	 * The change is in the log.
	 *
	 * @param revision the log index of the change
	 */
	record Accepted(long revision) implements Reply {
	}

	/**
	 * The change was refused and altered nothing.
	 *
	 * @param code the result code
	 * @param detail what was wrong
	 * @param retryAfterMs the time after which to try again, 0 if that does not help
	 */
	record Refused(ResultCode code, String detail, long retryAfterMs) implements Reply {
	}

	/**
	 * What is known of a request that may not be repeated. NOT_RUN lets the attempt run.
	 *
	 * @param answer the answer of the earlier attempt
	 */
	record Intent(AttemptOutcome answer) implements Reply {
	}

	/**
	 * The slots of a step that must be generated.
	 *
	 * @param missing the empty slots
	 */
	record Slots(List<Integer> missing) implements Reply {
	}

}
