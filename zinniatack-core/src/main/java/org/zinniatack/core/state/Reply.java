package org.zinniatack.core.state;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.job.JobEffect;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The reply of the replicated state to a command.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({ @JsonSubTypes.Type(value = Reply.Accepted.class, name = "ok"),
		@JsonSubTypes.Type(value = Reply.Refused.class, name = "no"),
		@JsonSubTypes.Type(value = Reply.Intent.class, name = "intent"),
		@JsonSubTypes.Type(value = Reply.Slots.class, name = "slots") })
public sealed interface Reply {

	/**
	 * Returns the refusal for a failed command.
	 * @param failure the reason of the failure
	 * @return the refusal
	 */
	static Refused refused(ServiceException failure) {
		return new Refused(failure.code(), String.valueOf(failure.getMessage()), failure.retryAfterMs());
	}

	/**
	 * Returns this reply unless it is a refusal.
	 * @return this reply
	 * @throws ServiceException with the code, detail and retry time of the refusal
	 */
	default Reply orThrow() throws ServiceException {
		if (this instanceof Refused refused) {
			throw ServiceException.retryable(refused.code(), refused.detail(), refused.retryAfterMs());
		}
		return this;
	}

	/**
	 * The command was accepted and applied.
	 *
	 * @param revision the log index of the command
	 * @param jobEffect what the command did to a job, null for other commands and from
	 * processes of earlier versions
	 */
	record Accepted(long revision, @Nullable JobEffect jobEffect) implements Reply {

		/**
		 * Creates the reply to a command that submits or ends no job.
		 * @param revision the log index of the command
		 */
		public Accepted(long revision) {
			this(revision, null);
		}

	}

	/**
	 * The command was refused and changed nothing.
	 *
	 * @param code the result code
	 * @param detail the reason of the refusal
	 * @param retryAfterMs the time after which to retry, in milliseconds, 0 if a retry
	 * does not help
	 */
	record Refused(ResultCode code, String detail, long retryAfterMs) implements Reply {
	}

	/**
	 * The outcome known for an at-most-once request.
	 *
	 * @param answer NOT_RUN if the new attempt may run, otherwise the outcome of the
	 * earlier attempt
	 */
	record Intent(AttemptOutcome answer) implements Reply {
	}

	/**
	 * The slots of a step that still need a sample.
	 *
	 * @param missing the numbers of the empty slots
	 */
	record Slots(List<Integer> missing) implements Reply {
	}

}
