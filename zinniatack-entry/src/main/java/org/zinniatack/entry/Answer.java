package org.zinniatack.entry;

import java.util.List;

import org.zinniatack.core.sample.VersionSpan;
import org.zinniatack.core.state.AttemptOutcome;

/**
 * A whole answer.
 *
 * @param httpStatus the target's status
 * @param contentType the target's content type
 * @param body the body of a service's answer, empty for an engine
 * @param text the generated text, empty for a service
 * @param finishReason why the engine stopped, empty for a service
 * @param spans the weight versions that the engine stated, in order
 * @param tokenCount the number of generated tokens
 */
record Answer(int httpStatus, String contentType, byte[] body, String text, String finishReason,
		List<VersionSpan> spans, long tokenCount) {

	/** Returns the answer of a service that control has kept. */
	static Answer of(AttemptOutcome kept) {
		return new Answer(kept.httpStatus(), kept.contentType(), kept.body(), "", "", List.of(), 0);
	}

}
