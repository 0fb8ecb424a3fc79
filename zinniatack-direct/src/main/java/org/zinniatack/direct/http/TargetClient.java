package org.zinniatack.direct.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * Keeps connections to targets and sends one request at a time on each. A connection that
 * shows anything but the answer to its request is closed, so that surplus bytes never
 * reach another request. All methods must be called on the event loop.
 */
public final class TargetClient {

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	private static final int MAXIMUM_HEADER_BYTES = 32 * 1024;

	private static final int CHUNK_BYTES = 8 * 1024;

	/** Ten round trips across a region; a target that is up accepts at once. */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/** What a request needs to arrive before the target closes an idle connection. */
	private static final long IDLE_MARGIN_MS = 600;

	/** For targets that do not say how long they keep an idle connection. */
	private static final long UNSTATED_IDLE_MS = 1_000;

	private final EventLoop loop;

	private final Map<String, Deque<Connection>> idleByAddress = new HashMap<>();

	private final ResponseMatcher matcher;

	/**
	 * Returns a client without connections.
	 * @param loop the event loop that it runs on
	 * @param matcher tells whether a response answers a request
	 */
	public TargetClient(EventLoop loop, ResponseMatcher matcher) {
		this.loop = loop;
		this.matcher = matcher;
	}

	/**
	 * Sends a request.
	 * @param address host and port of the target
	 * @param request the request, which this call releases
	 * @param listener who receives the answer, always after this call has returned
	 * @return an action that gives the request up and closes its connection; the listener
	 * hears nothing more
	 */
	public Runnable send(String address, FullHttpRequest request, ResponseListener listener) {
		Sending sending = new Sending(request, listener);
		Connection idle = takeIdle(address);
		if (idle != null) {
			this.loop.execute(() -> idle.start(sending));
		}
		else {
			connect(address, sending);
		}
		return sending::cancel;
	}

	/**
	 * Returns whether a request to a target would need no new connection.
	 * @param address host and port of the target
	 * @return true if an idle connection is open
	 */
	public boolean hasIdleConnection(String address) {
		Deque<Connection> idle = this.idleByAddress.get(address);
		long nowMs = nowMs();
		return idle != null && idle.stream().anyMatch((connection) -> connection.isUsable(nowMs));
	}

	private @Nullable Connection takeIdle(String address) {
		Deque<Connection> idle = this.idleByAddress.get(address);
		long nowMs = nowMs();
		while (idle != null && !idle.isEmpty()) {
			Connection connection = idle.pollLast();
			if (connection.isUsable(nowMs)) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private void connect(String address, Sending sending) {
		int colon = address.lastIndexOf(':');
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(MAXIMUM_LINE_BYTES, MAXIMUM_HEADER_BYTES, CHUNK_BYTES),
								new Connection(address));
				}
			})
			.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
		connecting.addListener((connected) -> {
			if (!connected.isSuccess()) {
				sending.fail(new RequestFailure(false, "cannot connect: " + connected.cause().getMessage()));
				return;
			}
			connecting.channel().pipeline().get(Connection.class).start(sending);
		});
	}

	/**
	 * Closes the idle connections to a target that has left.
	 * @param address host and port of the target
	 */
	public void closeIdleConnections(String address) {
		Deque<Connection> idle = this.idleByAddress.remove(address);
		if (idle != null) {
			idle.forEach(Connection::close);
		}
	}

	/**
	 * Returns whether a header concerns one connection only and is not passed on.
	 * @param name the name
	 * @return true if it must not be forwarded
	 */
	public static boolean isHopByHop(String name) {
		return HttpHeaderNames.CONNECTION.contentEqualsIgnoreCase(name)
				|| HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)
				|| HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)
				|| HttpHeaderNames.TE.contentEqualsIgnoreCase(name)
				|| HttpHeaderNames.TRAILER.contentEqualsIgnoreCase(name)
				|| HttpHeaderNames.UPGRADE.contentEqualsIgnoreCase(name)
				|| HttpHeaderNames.EXPECT.contentEqualsIgnoreCase(name) || "Keep-Alive".equalsIgnoreCase(name)
				|| "Proxy-Connection".equalsIgnoreCase(name);
	}

	/** A request on its way. */
	private static final class Sending {

		private final FullHttpRequest request;

		private final ResponseListener listener;

		private @Nullable Connection connection;

		private boolean over;

		Sending(FullHttpRequest request, ResponseListener listener) {
			this.request = request;
			this.listener = listener;
		}

		void cancel() {
			if (this.over) {
				return;
			}
			this.over = true;
			if (this.connection != null) {
				this.connection.close();
			}
			else {
				this.request.release();
			}
		}

		void fail(RequestFailure failure) {
			if (this.over) {
				return;
			}
			this.over = true;
			if (this.connection == null) {
				this.request.release();
			}
			this.listener.onFailure(failure);
		}

	}

	/** One connection to a target. */
	private final class Connection extends ChannelInboundHandlerAdapter {

		private final String address;

		private @Nullable Channel channel;

		private @Nullable Sending current;

		private @Nullable HttpResponse head;

		private String lostCause = "the target closed the connection";

		/** The bytes of the present answer's body. */
		private long bodyBytes;

		private boolean broken;

		private long usableUntilMs;

		private @Nullable Future<?> expiry;

		Connection(String address) {
			this.address = address;
		}

		@Override
		public void handlerAdded(ChannelHandlerContext context) {
			this.channel = context.channel();
		}

		boolean isUsable(long nowMs) {
			return this.channel != null && this.channel.isActive() && nowMs < this.usableUntilMs;
		}

		void start(Sending sending) {
			if (sending.over) {
				park();
				return;
			}
			if (this.expiry != null) {
				this.expiry.cancel(false);
			}
			sending.connection = this;
			this.current = sending;
			this.head = null;
			this.bodyBytes = 0;
			if (this.channel == null || !this.channel.isActive()) {
				sending.request.release();
				this.current = null;
				sending.fail(new RequestFailure(false, "the target closed the idle connection"));
				return;
			}
			this.channel.writeAndFlush(sending.request);
		}

		private void park() {
			this.current = null;
			this.head = null;
			this.expiry = TargetClient.this.loop.schedule(this::close, Math.max(1, this.usableUntilMs - nowMs()),
					TimeUnit.MILLISECONDS);
			TargetClient.this.idleByAddress.computeIfAbsent(this.address, (absent) -> new ArrayDeque<>()).addLast(this);
		}

		void close() {
			this.broken = true;
			Deque<Connection> idle = TargetClient.this.idleByAddress.get(this.address);
			if (idle != null) {
				idle.remove(this);
			}
			if (this.channel != null) {
				this.channel.close();
			}
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			try {
				if (this.current == null || this.broken || !(message instanceof HttpObject object)) {
					close();
					return;
				}
				onObject(this.current, object);
			}
			finally {
				ReferenceCountUtil.release(message);
			}
		}

		private void onObject(Sending sending, HttpObject object) {
			if (object.decoderResult().isFailure()) {
				lose("the answer is malformed");
				return;
			}
			if (object instanceof HttpResponse response) {
				if (response.status().code() < 200) {
					lose("the target sent an interim answer");
					return;
				}
				if (!TargetClient.this.matcher.matches(sending.request, response)) {
					lose("the answer belongs to another request");
					return;
				}
				this.head = response;
				sending.listener.onHead(response);
			}
			if (object instanceof HttpContent content && !sending.over) {
				this.bodyBytes += content.content().readableBytes();
				if (this.bodyBytes > sending.listener.maximumBodyBytes()) {
					lose("the answer has more than " + sending.listener.maximumBodyBytes() + " bytes");
					return;
				}
				if (content.content().isReadable()) {
					sending.listener.onContent(content.content());
				}
				if (object instanceof LastHttpContent && !sending.over) {
					end(sending);
				}
			}
		}

		private void end(Sending sending) {
			HttpResponse answered = this.head;
			if (answered == null) {
				lose("the answer has no head");
				return;
			}
			sending.over = true;
			this.current = null;
			if (HttpUtil.isKeepAlive(answered) && isFramed(answered)) {
				this.usableUntilMs = nowMs() + idleMs(answered) - IDLE_MARGIN_MS;
				park();
			}
			else {
				close();
			}
			sending.listener.onEnd(answered);
		}

		private static boolean isFramed(HttpResponse response) {
			return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
		}

		private static long idleMs(HttpResponse response) {
			for (String part : response.headers().get("Keep-Alive", "").split(",")) {
				String[] pair = part.trim().split("=");
				if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
					return TimeUnit.SECONDS.toMillis(Long.parseLong(pair[1]));
				}
			}
			return UNSTATED_IDLE_MS;
		}

		private void lose(String cause) {
			this.lostCause = cause;
			Sending sending = this.current;
			this.current = null;
			close();
			if (sending != null) {
				sending.fail(new RequestFailure(true, cause));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			lose(this.lostCause);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			lose("connection lost: " + cause.getMessage());
		}

	}

	/** Tells whether a response answers a request. */
	@FunctionalInterface
	public interface ResponseMatcher {

		/**
		 * Compares a response with the request before it.
		 * @param request the request
		 * @param response the head of the response
		 * @return true if the response is to this request
		 */
		boolean matches(FullHttpRequest request, HttpResponse response);

	}

}
