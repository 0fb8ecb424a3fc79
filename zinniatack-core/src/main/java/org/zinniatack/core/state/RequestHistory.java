package org.zinniatack.core.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.zinniatack.core.result.ResultCode;

/**
 * Stores the first reply to each operator request, so that a resent request is not
 * applied twice and receives the same reply.
 */
public final class RequestHistory {

	private static final int MAX_REQUESTS = 10_000;

	private final Map<String, AnsweredRequest> answers = new LinkedHashMap<>();

	static RequestHistory of(Collection<AnsweredRequest> stored) {
		RequestHistory history = new RequestHistory();
		stored.forEach((answered) -> history.answers.put(answered.requestId(), answered));
		return history;
	}

	/**
	 * Returns the stored reply to a request, or computes and stores it. Refuses a request
	 * id that was used for another command.
	 */
	Reply replyOnce(String requestId, Command command, Supplier<Reply> apply) {
		AnsweredRequest found = this.answers.get(requestId);
		if (found == null) {
			Reply reply = apply.get();
			this.answers.put(requestId, new AnsweredRequest(requestId, command, reply));
			if (this.answers.size() > MAX_REQUESTS) {
				this.answers.remove(this.answers.keySet().iterator().next());
			}
			return reply;
		}
		return found.command().equals(command) ? found.reply()
				: new Reply.Refused(ResultCode.REQUEST_ID_REUSED, "request id " + requestId, 0);
	}

	List<AnsweredRequest> images() {
		return List.copyOf(this.answers.values());
	}

	/**
	 * An operator request with its first reply.
	 *
	 * @param requestId the operator's id of the request
	 * @param command the command of the request
	 * @param reply the first reply
	 */
	public record AnsweredRequest(String requestId, Command command, Reply reply) {
	}

}
