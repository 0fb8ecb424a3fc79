package org.zinniatack.direct.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

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
 * One request of a listener and its answer. All methods must be called on its event loop.
 */
public final class Exchange {

	private final Channel channel;

	private final FullHttpRequest request;

	private final byte[] body;

	private final Runnable finished;

	private final List<Runnable> closeActions = new ArrayList<>();

	private boolean closeAfter;

	private boolean answered;

	private boolean streaming;

	Exchange(Channel channel, FullHttpRequest request, boolean closeAfter, Runnable finished) {
		this.channel = channel;
		this.request = request;
		this.body = ByteBufUtil.getBytes(request.content());
		this.closeAfter = closeAfter || !HttpUtil.isKeepAlive(request);
		this.finished = finished;
	}

	/**
	 * Returns the address from which the request came.
	 * @return the IP number
	 */
	public String callerAddress() {
		return ((InetSocketAddress) this.channel.remoteAddress()).getAddress().getHostAddress();
	}

	/**
	 * Returns the method.
	 * @return the method
	 */
	public HttpMethod method() {
		return this.request.method();
	}

	/**
	 * Returns the path with its query.
	 * @return the request target as it was sent
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
	 * Returns the headers.
	 * @return the headers as they were sent
	 */
	public HttpHeaders headers() {
		return this.request.headers();
	}

	/**
	 * Returns the body.
	 * @return the bytes, without any transfer encoding
	 */
	public byte[] body() {
		return this.body;
	}

	/**
	 * Returns the host that the caller named, without a port.
	 * @return the host, empty if none was named
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
	 * Returns whether an answer was begun or the caller has left.
	 * @return true if no answer can be given any more
	 */
	public boolean isRespondedOrClosed() {
		return this.answered || !this.channel.isActive();
	}

	/**
	 * Names what to do if the connection closes before the answer is whole.
	 * @param action the action, run at most once
	 */
	public void onCallerDisconnected(Runnable action) {
		this.closeActions.add(action);
	}

	void connectionClosed() {
		List<Runnable> actions = List.copyOf(this.closeActions);
		this.closeActions.clear();
		actions.forEach(Runnable::run);
	}

	/** Lets the connection close once the answer is whole. */
	void closeAfterAnswer() {
		this.closeAfter = true;
	}

	/**
	 * Answers with a JSON body.
	 * @param status the status code
	 * @param json the body
	 */
	public void respondJson(int status, String json) {
		respond(HttpResponseStatus.valueOf(status), headersOf("application/json"),
				Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8)));
	}

	private static HttpHeaders headersOf(String contentType) {
		return new io.netty.handler.codec.http.DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, contentType);
	}

	/**
	 * Answers with a whole body.
	 * @param status the status
	 * @param headers the headers, without those of the connection
	 * @param content the body, which this call releases
	 */
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
		if (isRespondedOrClosed()) {
			content.release();
			return;
		}
		this.answered = true;
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
		response.headers().set(headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		addConnection(response);
		end(this.channel.writeAndFlush(response));
	}

	/**
	 * Begins an answer whose body follows in pieces.
	 * @param status the status
	 * @param headers the headers, without those of the connection
	 */
	public void begin(HttpResponseStatus status, HttpHeaders headers) {
		if (isRespondedOrClosed()) {
			return;
		}
		this.answered = true;
		this.streaming = true;
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(headers);
		response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		addConnection(response);
		this.channel.writeAndFlush(response);
	}

	private void addConnection(HttpResponse response) {
		if (this.closeAfter) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Sends a piece of the body.
	 * @param content the piece, which this call releases
	 */
	public void write(ByteBuf content) {
		if (!this.streaming) {
			content.release();
			return;
		}
		this.channel.writeAndFlush(new DefaultHttpContent(content));
	}

	/**
	 * Returns how much of the answer waits for the caller to read.
	 * @return the bytes that the socket has not taken yet
	 */
	public long unsentBytes() {
		ChannelOutboundBuffer waiting = this.channel.unsafe().outboundBuffer();
		return (waiting != null) ? waiting.totalPendingWriteBytes() : 0;
	}

	/** Ends an answer whose body was sent in pieces. */
	public void finish() {
		if (this.streaming) {
			this.streaming = false;
			end(this.channel.writeAndFlush(new DefaultLastHttpContent()));
		}
	}

	/** Closes the connection, so that an answer that was begun does not look whole. */
	public void abort() {
		this.answered = true;
		this.streaming = false;
		this.closeActions.clear();
		this.channel.close();
	}

	private void end(ChannelFuture written) {
		this.closeActions.clear();
		if (this.closeAfter) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.finished.run();
	}

}
