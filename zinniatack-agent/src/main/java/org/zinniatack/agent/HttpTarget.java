package org.zinniatack.agent;

import java.io.IOException;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.gateway.http.RequestFailure;
import org.zinniatack.gateway.http.ResponseListener;
import org.zinniatack.gateway.http.TargetClient;
import org.zinniatack.wire.Message;

/**
 * A target with an HTTP API: a model engine or a plain service. Each request has a
 * connection of its own, since targets do not repeat its id in their response.
 */
final class HttpTarget implements Target {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long STATE_TIMEOUT_MS = 1_000;

	private static final long LOAD_WEIGHTS_TIMEOUT_MS = 30_000;

	private static final int FIRST_ERROR_STATUS = 400;

	/** The longest answer that entries accept. */
	private static final long MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;

	private static final long MAXIMUM_REPORT_BYTES = 64 * 1024;

	/** The limit on what entries have not read yet of all answers together. */
	static final long MAXIMUM_UNSENT_BYTES = 64 * 1024 * 1024;

	private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("target", true),
			NioIoHandler.newFactory())
		.next();

	private final TargetClient client = new TargetClient(this.loop);

	private final String address;

	private final boolean engine;

	private long unsentBytes;

	HttpTarget(String url, boolean engine) throws ServiceException {
		this.address = addressOf(url);
		this.engine = engine;
	}

	private static String addressOf(String url) throws ServiceException {
		try {
			URI uri = URI.create(url);
			if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
				return uri.getHost() + ':' + ((uri.getPort() >= 0) ? uri.getPort() : 80);
			}
		}
		catch (IllegalArgumentException ex) {
			// Reported below, as other addresses that are not valid.
		}
		throw ServiceException.of(ResultCode.SETTINGS_INVALID, "targetUrl must be a valid URL with the scheme http");
	}

	@Override
	public Runnable run(Message.Run run, Receiver receiver) {
		AnswerReader reader = new AnswerReader(receiver);
		this.loop.execute(() -> reader.start(run));
		return () -> this.loop.execute(reader::cancel);
	}

	private FullHttpRequest request(HttpMethod method, String path, Map<String, String> headers, byte[] body) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path,
				Unpooled.wrappedBuffer(body));
		headers.forEach((name, value) -> request.headers().set(name, value));
		request.headers()
			.set(HttpHeaderNames.HOST, this.address)
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
			.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		return request;
	}

	@Override
	public CompletableFuture<State> state() {
		FullHttpRequest request = request(HttpMethod.GET, this.engine ? "/admin/state" : "/health", Map.of(),
				new byte[0]);
		return call(request, STATE_TIMEOUT_MS).thenCompose((report) -> {
			try {
				JsonNode body = MAPPER.readTree(report.body());
				return body.isObject()
						? CompletableFuture
							.completedFuture(new State(versionOf(body), body.path("software_version").asText("")))
						: CompletableFuture.failedFuture(new IOException("the target's state is no JSON object"));
			}
			catch (IOException ex) {
				return CompletableFuture.failedFuture(ex);
			}
		});
	}

	private long versionOf(JsonNode state) {
		return this.engine ? state.path("weight_version").asLong(0) : 0;
	}

	@Override
	public CompletableFuture<Void> loadWeights(long version, long fencingNumber) {
		byte[] body;
		try {
			body = MAPPER.writeValueAsBytes(Map.of("version", version, "fencing_number", fencingNumber));
		}
		catch (JsonProcessingException ex) {
			return CompletableFuture.failedFuture(ex);
		}
		FullHttpRequest order = request(HttpMethod.PUT, "/admin/weights", Map.of("Content-Type", "application/json"),
				body);
		return call(order, LOAD_WEIGHTS_TIMEOUT_MS)
			.thenCompose((report) -> (report.status() < FIRST_ERROR_STATUS) ? CompletableFuture.completedFuture(null)
					: CompletableFuture.failedFuture(ServiceException.of(ResultCode.TARGET_FAILED,
							"the engine answered the weight order with status " + report.status())));
	}

	private CompletableFuture<Report> call(FullHttpRequest request, long timeoutMs) {
		CompletableFuture<Report> report = new CompletableFuture<>();
		this.loop.execute(() -> {
			Runnable cancel = this.client.send(this.address, request, new ReportReader(report));
			Future<?> timeout = this.loop.schedule(() -> {
				cancel.run();
				report.completeExceptionally(new TimeoutException("no answer within " + timeoutMs + " ms"));
			}, timeoutMs, TimeUnit.MILLISECONDS);
			report.whenComplete((done, failure) -> timeout.cancel(false));
		});
		return report;
	}

	/** Passes the answer to one request on. All methods run on the event loop. */
	private final class AnswerReader implements ResponseListener {

		private final Receiver receiver;

		private final EventSplitter events = new EventSplitter();

		private Runnable canceller = () -> {
		};

		private boolean ended;

		private int status;

		private @Nullable Future<?> timeout;

		AnswerReader(Receiver receiver) {
			this.receiver = receiver;
		}

		void start(Message.Run run) {
			if (this.ended) {
				return;
			}
			this.timeout = HttpTarget.this.loop.schedule(
					() -> abort(new TimeoutException("no answer began within " + run.deadlineInMs() + " ms")),
					run.deadlineInMs(), TimeUnit.MILLISECONDS);
			try {
				this.canceller = HttpTarget.this.client.send(HttpTarget.this.address,
						request(HttpMethod.valueOf(run.method()), run.path(), run.headers(), run.body()), this);
			}
			catch (IllegalArgumentException ex) {
				abort(ServiceException.of(ResultCode.FIELD_INVALID,
						"the request cannot be sent to a target: " + ex.getMessage()));
			}
		}

		void cancel() {
			if (end()) {
				this.canceller.run();
			}
		}

		/** Returns false if the answer has ended before. */
		private boolean end() {
			boolean first = !this.ended;
			this.ended = true;
			stopTimeout();
			return first;
		}

		private void stopTimeout() {
			if (this.timeout != null) {
				this.timeout.cancel(false);
			}
		}

		private void abort(Exception failure) {
			if (end()) {
				this.canceller.run();
				this.receiver.failed(failure, true);
			}
		}

		@Override
		public void onHead(HttpResponse head) {
			stopTimeout();
			this.status = head.status().code();
			this.receiver.head(this.status, head.headers().get(HttpHeaderNames.CONTENT_TYPE, ""));
		}

		@Override
		public long maximumBodyBytes() {
			return MAXIMUM_ANSWER_BYTES;
		}

		@Override
		public void onContent(ByteBuf content) {
			if (this.ended) {
				return;
			}
			byte[] bytes = ByteBufUtil.getBytes(content);
			if (!HttpTarget.this.engine) {
				passOn(bytes);
			}
			else if (this.status < FIRST_ERROR_STATUS) {
				try {
					this.events.feed(bytes, this::passOn);
				}
				catch (ServiceException ex) {
					abort(ex);
				}
			}
		}

		private void passOn(byte[] bytes) {
			if (HttpTarget.this.unsentBytes + bytes.length > MAXIMUM_UNSENT_BYTES) {
				abort(ServiceException.of(ResultCode.OUTCOME_UNKNOWN,
						"the entries have not read %d bytes of answers".formatted(HttpTarget.this.unsentBytes)));
			}
			if (!this.ended) {
				HttpTarget.this.unsentBytes += bytes.length;
				this.receiver.chunk(bytes)
					.whenComplete((written, failure) -> HttpTarget.this.loop
						.execute(() -> HttpTarget.this.unsentBytes -= bytes.length));
			}
		}

		@Override
		public void onEnd(HttpResponse head) {
			HttpTarget.this.client.closeIdleConnections(HttpTarget.this.address);
			if (!end()) {
				return;
			}
			if (!HttpTarget.this.engine || this.status < FIRST_ERROR_STATUS && this.events.isDone()) {
				this.receiver.end();
			}
			else if (this.status >= FIRST_ERROR_STATUS) {
				this.receiver.failed(
						ServiceException.of((this.status >= 500) ? ResultCode.TARGET_FAILED : ResultCode.FIELD_INVALID,
								"the engine answered with status " + this.status),
						true);
			}
			else {
				this.receiver.failed(
						ServiceException.of(ResultCode.ANSWER_CUT_SHORT, "the event stream ended without [DONE]"),
						true);
			}
		}

		@Override
		public void onFailure(RequestFailure failure) {
			if (end()) {
				this.receiver.failed(new IOException(failure.detail()), failure.mayHaveRun());
			}
		}

	}

	/** Collects the answer to a check or an order. */
	private final class ReportReader implements ResponseListener {

		private final CompletableFuture<Report> report;

		private final ByteBuf body = Unpooled.buffer();

		ReportReader(CompletableFuture<Report> report) {
			this.report = report;
		}

		@Override
		public void onHead(HttpResponse head) {
			// The status is read when the answer is complete.
		}

		@Override
		public long maximumBodyBytes() {
			return MAXIMUM_REPORT_BYTES;
		}

		@Override
		public void onContent(ByteBuf content) {
			this.body.writeBytes(content.duplicate());
		}

		@Override
		public void onEnd(HttpResponse head) {
			HttpTarget.this.client.closeIdleConnections(HttpTarget.this.address);
			this.report.complete(new Report(head.status().code(), ByteBufUtil.getBytes(this.body)));
		}

		@Override
		public void onFailure(RequestFailure failure) {
			this.report.completeExceptionally(new IOException(failure.detail()));
		}

	}

	/**
	 * The answer to a check or an order.
	 *
	 * @param status the HTTP status
	 * @param body the whole body
	 */
	private record Report(int status, byte[] body) {
	}

}
