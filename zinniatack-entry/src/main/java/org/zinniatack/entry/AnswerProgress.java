package org.zinniatack.entry;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

import org.zinniatack.core.sample.VersionSpan;

/**
 * Collects the part of an answer that has been received so far. Generated text spans all
 * attempts, since a later attempt resumes it; the body of a service does not.
 */
final class AnswerProgress {

	private final StringBuilder text = new StringBuilder();

	private final List<VersionSpan> spans = new ArrayList<>();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int httpStatus;

	private String contentType = "";

	private String finishReason = "";

	private long tokenCount;

	void setHead(int status, String type) {
		this.httpStatus = status;
		this.contentType = type;
	}

	void appendEvent(EngineEvent event) {
		this.text.append(event.text());
		this.tokenCount += event.tokenCount();
		if (!event.finishReason().isEmpty()) {
			this.finishReason = event.finishReason();
		}
		if (event.tokenCount() > 0) {
			addSpan(event.weightVersion(), event.tokenCount());
		}
	}

	private void addSpan(long version, int tokens) {
		int last = this.spans.size() - 1;
		if (last >= 0 && this.spans.get(last).weightVersion() == version) {
			this.spans.set(last, new VersionSpan(version, this.spans.get(last).tokenCount() + tokens));
		}
		else {
			this.spans.add(new VersionSpan(version, tokens));
		}
	}

	void appendBody(byte[] part) {
		this.body.writeBytes(part);
	}

	/** Discards the partial body of a service before another attempt. */
	void discardBody() {
		this.body.reset();
	}

	/** Returns the length of the text and the body. */
	int size() {
		return this.text.length() + this.body.size();
	}

	boolean isFinished() {
		return !this.finishReason.isEmpty();
	}

	String text() {
		return this.text.toString();
	}

	long tokenCount() {
		return this.tokenCount;
	}

	Answer answer() {
		return new Answer(this.httpStatus, this.contentType, this.body.toByteArray(), this.text.toString(),
				this.finishReason, List.copyOf(this.spans), this.tokenCount);
	}

}
