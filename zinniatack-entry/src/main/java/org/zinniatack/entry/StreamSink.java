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
import org.zinniatack.process.ErrorAnswers;
import org.zinniatack.process.ErrorBody;

/**
 * Sends the events of an engine to a caller as they come. Only a whole answer ends with
 * the end mark; one that is cut short ends with an error event.
 */
final class StreamSink implements AnswerSink {

	private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] ERROR_EVENT = "event: error\ndata: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] EVENT_END = "\n\n".getBytes(StandardCharsets.UTF_8);

	private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

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
		begin();
		this.events.tryEmitNext(join(DATA, event.data()));
	}

	@Override
	public synchronized void complete(Answer answer) {
		begin();
		this.events.tryEmitNext(DONE);
		this.events.tryEmitComplete();
	}

	@Override
	public synchronized void fail(ServiceException failure) {
		if (this.response.isDone()) {
			this.events.tryEmitNext(join(ERROR_EVENT, GenerationRequest.toJson(ErrorBody.of(failure))));
			this.events.tryEmitComplete();
		}
		else {
			this.response.complete(ErrorAnswers.of(failure));
		}
	}

	private void begin() {
		if (!this.response.isDone()) {
			Publisher<byte[]> body = Flux.from(this.events.asFlux()).doOnCancel(() -> this.cancel.run());
			MutableHttpResponse<Publisher<byte[]>> head = HttpResponse.ok(body);
			this.response.complete(head.contentType("text/event-stream").header("Cache-Control", "no-cache"));
		}
	}

	private static byte[] join(byte[] prefix, byte[] data) {
		ByteArrayOutputStream joined = new ByteArrayOutputStream(prefix.length + data.length + EVENT_END.length);
		joined.writeBytes(prefix);
		joined.writeBytes(data);
		joined.writeBytes(EVENT_END);
		return joined.toByteArray();
	}

}
