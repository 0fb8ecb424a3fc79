package org.zinniatack.entry;

import java.util.List;

import org.zinniatack.core.sample.VersionSpan;
import org.zinniatack.core.state.AttemptOutcome;

/**
 * The complete answer of a target to one request.
 *
 * @param httpStatus the HTTP status that the target returned
 * @param contentType the content type that the target returned
 * @param body the body that a service returned, empty for an engine
 * @param text the generated text, empty for a service
 * @param finishReason why the engine stopped, empty for a service
 * @param spans the weight versions that the engine reported, in token order
 * @param tokenCount the number of generated tokens
 */
record Answer(int httpStatus, String contentType, byte[] body, String text, String finishReason,
		List<VersionSpan> spans, long tokenCount) {

	/** Returns the answer of a service that is stored in control. */
	static Answer of(AttemptOutcome stored) {
		return new Answer(stored.httpStatus(), stored.contentType(), stored.body(), "", "", List.of(), 0);
	}

}
