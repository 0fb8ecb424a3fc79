package org.zinniatack.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.ErrorBody;
import org.zinniatack.process.ErrorResponses;

/**
 * Forwards the events of an engine to the caller as server-sent events. A complete answer
 * ends with the {@code [DONE]} event, a truncated answer with an error event.
 */
final class StreamSink implements AnswerSink {

	private static final byte[] DATA_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] ERROR_EVENT_PREFIX = "event: error\ndata: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

	private final Sinks.Many<byte[]> events = Sinks.many().unicast().onBackpressureBuffer();

	private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();

	private volatile Runnable cancel = () -> {
	};

	CompletableFuture<HttpResponse<?>> response() {
		return this.response;
	}

	void onCancel(Runnable action) {
		this.cancel = action;
	}

	@Override
	public synchronized void onEvent(EngineEvent event) {
		startResponse();
		this.events.tryEmitNext(sseEvent(DATA_PREFIX, event.data()));
	}

	@Override
	public synchronized void complete(Answer answer) {
		startResponse();
		this.events.tryEmitNext(DONE_EVENT);
		this.events.tryEmitComplete();
	}

	@Override
	public synchronized void fail(ServiceException failure) {
		if (this.response.isDone()) {
			this.events.tryEmitNext(sseEvent(ERROR_EVENT_PREFIX, GenerationRequest.toJson(ErrorBody.of(failure))));
			this.events.tryEmitComplete();
		}
		else {
			this.response.complete(ErrorResponses.of(failure));
		}
	}

	private void startResponse() {
		if (!this.response.isDone()) {
			Publisher<byte[]> body = Flux.from(this.events.asFlux()).doOnCancel(() -> this.cancel.run());
			MutableHttpResponse<Publisher<byte[]>> head = HttpResponse.ok(body);
			this.response.complete(head.contentType("text/event-stream").header("Cache-Control", "no-cache"));
		}
	}

	private static byte[] sseEvent(byte[] prefix, byte[] data) {
		ByteArrayOutputStream framed = new ByteArrayOutputStream(prefix.length + data.length + EVENT_END.length);
		framed.writeBytes(prefix);
		framed.writeBytes(data);
		framed.writeBytes(EVENT_END);
		return framed.toByteArray();
	}

}
