package org.zinniatack.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One HTTP request from a caller and its response. All methods must be called on the
 * event loop of the connection.
 */
public final class Exchange {

	private final Channel channel;

	private final FullHttpRequest request;

	private final byte[] body;

	private final long firstByteAtMs;

	private final LongSupplier ageMs;

	private final Runnable onCompleted;

	private final List<Runnable> disconnectActions = new ArrayList<>();

	private boolean closeAfterResponse;

	private boolean responseStarted;

	private boolean streaming;

	Exchange(Channel channel, FullHttpRequest request, long firstByteAtMs, LongSupplier ageMs,
			boolean closeAfterResponse, Runnable onCompleted) {
		this.channel = channel;
		this.request = request;
		this.firstByteAtMs = firstByteAtMs;
		this.ageMs = ageMs;
		this.body = ByteBufUtil.getBytes(request.content());
		this.closeAfterResponse = closeAfterResponse || !HttpUtil.isKeepAlive(request);
		this.onCompleted = onCompleted;
	}

	/**
	 * Returns the caller's IP address.
	 * @return the address in text form
	 */
	public String callerAddress() {
		return ((InetSocketAddress) this.channel.remoteAddress()).getAddress().getHostAddress();
	}

	/**
	 * Returns the HTTP method.
	 * @return the method
	 */
	public HttpMethod method() {
		return this.request.method();
	}

	/**
	 * Returns the path with its query.
	 * @return the request target as received
	 */
	public String uri() {
		return this.request.uri();
	}

	/**
	 * Returns the path.
	 * @return the request target without its query
	 */
	public String path() {
		int query = this.request.uri().indexOf('?');
		return (query < 0) ? this.request.uri() : this.request.uri().substring(0, query);
	}

	/**
	 * Returns the request headers.
	 * @return the headers as received
	 */
	public HttpHeaders headers() {
		return this.request.headers();
	}

	/**
	 * Returns the request body.
	 * @return the bytes after any transfer encoding was removed
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns the time since the first byte of the request arrived. If the process was
	 * stopped meanwhile, it is the longest time for which the byte may have waited.
	 * @return the time in milliseconds
	 */
	public long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(eventLoop().ticker().nanoTime()) - this.firstByteAtMs;
	}

	/**
	 * Returns the longest time since the caller may have sent the request, however long
	 * it was held back on its way: the time since the connection was opened or, on a
	 * connection that is used again, since the request before was read.
	 * @return the time in milliseconds, with times in which the VM was suspended
	 */
	public long maximumAgeMs() {
		return this.ageMs.getAsLong();
	}

	/**
	 * Returns the host of the Host header, without its port.
	 * @return the host, or an empty string if there is no such header
	 */
	public String host() {
		String host = this.request.headers().get(HttpHeaderNames.HOST, "");
		int colon = host.indexOf(':');
		return (colon < 0) ? host : host.substring(0, colon);
	}

	/**
	 * Returns the event loop of the connection.
	 * @return the event loop
	 */
	public EventLoop eventLoop() {
		return this.channel.eventLoop();
	}

	/**
	 * Returns whether a response has been started or the connection is closed.
	 * @return true if no response can be started any more
	 */
	public boolean isRespondedOrClosed() {
		return this.responseStarted || !this.channel.isActive();
	}

	/**
	 * Registers an action for the case that the connection closes before the response is
	 * complete.
	 * @param action the action, which runs at most once
	 */
	public void onCallerDisconnected(Runnable action) {
		this.disconnectActions.add(action);
	}

	void connectionClosed() {
		List<Runnable> actions = List.copyOf(this.disconnectActions);
		this.disconnectActions.clear();
		actions.forEach(Runnable::run);
	}

	/** Returns whether the response is the last one on its connection. */
	boolean closesConnection() {
		return this.closeAfterResponse;
	}

	/** Closes the connection once the response is complete. */
	void closeWhenComplete() {
		this.closeAfterResponse = true;
	}

	/**
	 * Sends a response with a JSON body.
	 * @param status the status code
	 * @param json the body
	 */
	public void respondJson(int status, String json) {
		respond(HttpResponseStatus.valueOf(status), contentTypeHeaders("application/json"),
				Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8)));
	}

	private static HttpHeaders contentTypeHeaders(String contentType) {
		return new io.netty.handler.codec.http.DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, contentType);
	}

	/**
	 * Sends a complete response.
	 * @param status the status
	 * @param headers the headers except those that concern the connection
	 * @param content the body, which this call releases
	 */
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		if (isRespondedOrClosed()) {
			content.release();
			return;
		}
		this.responseStarted = true;
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
		response.headers().set(headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		setConnectionHeader(response);
		completeAfter(this.channel.writeAndFlush(response));
	}

	/**
	 * Starts a chunked response.
	 * @param status the status
	 * @param headers the headers except those that concern the connection
	 */
	public void begin(HttpResponseStatus status, HttpHeaders headers) {
		if (isRespondedOrClosed()) {
			return;
		}
		this.responseStarted = true;
		this.streaming = true;
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnectionHeader(response);
		this.channel.writeAndFlush(response);
	}

	private void setConnectionHeader(HttpResponse response) {
		if (this.closeAfterResponse) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Sends a chunk of the body.
	 * @param content the chunk, which this call releases
	 */
	public void write(ByteBuf content) {
		if (!this.streaming) {
			content.release();
			return;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(content));
	}

	/**
	 * Returns the size of the response data that waits to be sent.
	 * @return the bytes that were not yet written to the socket
	 */
	public long unsentBytes() {
		return unsentBytes(this.channel);
	}

	static long unsentBytes(Channel channel) {
		ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
		return (pending != null) ? pending.totalPendingWriteBytes() : 0;
	}

	/** Completes a chunked response. */
	public void finish() {
		if (this.streaming) {
			this.streaming = false;
			completeAfter(this.channel.writeAndFlush(new DefaultLastHttpContent()));
		}
	}

	/** Closes the connection, so that a started response does not look complete. */
	public void abort() {
		this.responseStarted = true;
		this.streaming = false;
		this.disconnectActions.clear();
		this.channel.close();
	}

	private void completeAfter(ChannelFuture written) {
		this.disconnectActions.clear();
		if (this.closeAfterResponse) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.onCompleted.run();
	}

}
