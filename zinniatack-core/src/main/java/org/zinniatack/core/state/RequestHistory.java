package org.zinniatack.core.state;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.zinniatack.core.result.ResultCode;

/**
 * The first answers to operators' requests, so that a request that is sent again gets the
 * same answer.
 */
public final class RequestHistory {

	private static final int REQUESTS_KEPT = 10_000;

	private final Map<String, AnsweredRequest> answers = new LinkedHashMap<>();

	static RequestHistory of(Collection<AnsweredRequest> stored) {
		RequestHistory history = new RequestHistory();
		stored.forEach((answered) -> history.answers.put(answered.requestId(), answered));
		return history;
	}

	/** Returns the first answer to a request, or makes and keeps it. */
	Reply replyOnce(String requestId, Command command, Supplier<Reply> first) {
		AnsweredRequest found = this.answers.get(requestId);
		if (found == null) {
			Reply reply = first.get();
			this.answers.put(requestId, new AnsweredRequest(requestId, command, reply));
			if (this.answers.size() > REQUESTS_KEPT) {
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
	 * A request with its first answer.
	 *
	 * @param requestId the operator's id of the request
	 * @param command the request
	 * @param reply the first answer
	 */
	public record AnsweredRequest(String requestId, Command command, Reply reply) {
	}

}
