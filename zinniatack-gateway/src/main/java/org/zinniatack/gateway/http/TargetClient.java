package org.zinniatack.gateway.http;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP client with a pool of connections to targets, each used for one request at a
 * time. A connection that receives anything but the response to its request is closed, so
 * that stray bytes are never taken for the response to another request. All methods must
 * be called on the event loop.
 */
public final class TargetClient {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int FIRST_FINAL_STATUS = 200;

	private static final int LAST_STATUS = 599;

	private static final HttpDecoderConfig DECODER_CONFIG = new HttpDecoderConfig().setMaxInitialLineLength(8 * 1024)
		.setMaxHeaderSize(32 * 1024)
		.setMaxChunkSize(8 * 1024);

	private static final int MINIMUM_READ_BYTES = 64;

	private static final int INITIAL_READ_BYTES = 2 * 1024;

	/**
	 * Bounds the time for which a target that writes without a pause keeps the event loop
	 * from all other connections.
	 */
	private static final int MAXIMUM_READ_BYTES = 8 * 1024;

	/** Ten round trips across a region; a running target accepts without delay. */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/** Time for a request to arrive before the target closes the idle connection. */
	private static final long IDLE_MARGIN_MS = 600;

	/** The idle timeout assumed for targets that send no Keep-Alive timeout. */
	private static final long DEFAULT_IDLE_TIMEOUT_MS = 1_000;

	private final EventLoop loop;

	private final Map<String, Deque<Connection>> idleConnectionsByAddress = new HashMap<>();

	/** Null if connections carry nothing but one response to each request. */
	private final @Nullable RequestIds ids;

	/**
	 * Creates a client for targets that may send a response twice. Responses are told
	 * apart by the id of their request; a connection carries at most one request without
	 * an id.
	 * @param loop the event loop to run on
	 * @param ids reads the ids of requests and responses
	 */
	public TargetClient(EventLoop loop, RequestIds ids) {
		this.loop = loop;
		this.ids = ids;
	}

	/**
	 * Creates a client for servers that send one response to each request.
	 * @param loop the event loop to run on
	 */
	public TargetClient(EventLoop loop) {
		this.loop = loop;
		this.ids = null;
	}

	/**
	 * Sends a request.
	 * @param address host and port of the target
	 * @param request the request, which this call releases
	 * @param listener receives the response, always after this method has returned
	 * @return an action that cancels the request and closes its connection, after which
	 * the listener is not called again
	 */
	public Runnable send(String address, FullHttpRequest request, ResponseListener listener) {
		PendingRequest pending = new PendingRequest(request, idOf(request), listener);
		Connection idle = takeIdle(address, pending.id);
		if (idle != null) {
			this.loop.execute(() -> idle.sendRequest(pending));
		}
		else {
			connect(address, pending);
		}
		return pending::cancel;
	}

	private @Nullable String idOf(HttpMessage message) {
		return (this.ids != null) ? this.ids.requestId(message) : null;
	}

	/**
	 * Returns whether a request to a target can use an idle connection.
	 * @param address host and port of the target
	 * @return true if no new connection is needed
	 */
	public boolean hasIdleConnection(String address) {
		Deque<Connection> idle = this.idleConnectionsByAddress.get(address);
		long nowMs = nowMs();
		return idle != null && idle.stream().anyMatch((connection) -> connection.isUsable(nowMs));
	}

	/**
	 * Takes the idle connection that was used last, except those on which the late copy
	 * of an earlier response could be taken for the response to the request.
	 */
	private @Nullable Connection takeIdle(String address, @Nullable String id) {
		Deque<Connection> idle = this.idleConnectionsByAddress.get(address);
		if (idle == null) {
			return null;
		}
		long nowMs = nowMs();
		Iterator<Connection> latestFirst = idle.descendingIterator();
		while (latestFirst.hasNext()) {
			Connection connection = latestFirst.next();
			if (!connection.isUsable(nowMs)) {
				latestFirst.remove();
				connection.close();
			}
			else if (connection.mayCarry(id)) {
				latestFirst.remove();
				return connection;
			}
		}
		return null;
	}

	private long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.loop.ticker().nanoTime());
	}

	private void connect(String address, PendingRequest pending) {
		int colon = address.lastIndexOf(':');
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.RECVBUF_ALLOCATOR, readTurn())
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpRequestEncoder(), new ResponseDecoder(DECODER_CONFIG),
								new Connection(address));
				}
			})
			.connect(
					new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
		connecting.addListener((connected) -> {
			if (!connected.isSuccess()) {
				pending.fail(new RequestFailure(false, "cannot connect: " + connected.cause().getMessage()));
				return;
			}
			connecting.channel().pipeline().get(Connection.class).sendRequest(pending);
		});
	}

	/** Returns how much of one connection is read before it is the turn of the others. */
	private static RecvByteBufAllocator readTurn() {
		return new AdaptiveRecvByteBufAllocator(MINIMUM_READ_BYTES, INITIAL_READ_BYTES, MAXIMUM_READ_BYTES)
			.maxMessagesPerRead(1);
	}

	/**
	 * Closes the idle connections to a target.
	 * @param address host and port of the target
	 */
	public void closeIdleConnections(String address) {
		Deque<Connection> idle = this.idleConnectionsByAddress.remove(address);
		if (idle != null) {
			idle.forEach(Connection::close);
		}
	}

	/**
	 * Returns whether a header is a hop-by-hop header, which is not forwarded.
	 * @param name the name of the header
	 * @return true if it concerns only one connection
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

	/** A request that was sent or waits for its connection. */
	private static final class PendingRequest {

		private final FullHttpRequest request;

		private final @Nullable String id;

		private final ResponseListener listener;

		private @Nullable Connection connection;

		private boolean finished;

		PendingRequest(FullHttpRequest request, @Nullable String id, ResponseListener listener) {
			this.request = request;
			this.id = id;
			this.listener = listener;
		}

		void cancel() {
			if (this.finished) {
				return;
			}
			this.finished = true;
			if (this.connection != null) {
				this.connection.close();
			}
			else {
				this.request.release();
			}
		}

		void fail(RequestFailure failure) {
			if (this.finished) {
				return;
			}
			this.finished = true;
			if (this.connection == null) {
				this.request.release();
			}
			this.listener.onFailure(failure);
		}

	}

	/** One connection to a target. */
	private final class Connection extends ChannelInboundHandlerAdapter {

		private final String address;

		private final RecentIds recentIds = new RecentIds();

		private boolean carriedRequestWithoutId;

		private @Nullable Channel channel;

		private @Nullable PendingRequest current;

		private @Nullable HttpResponse head;

		private String failureCause = "the target closed the connection";

		/** The number of requests sent on this connection. */
		private int requestCount;

		/** The bytes received so far of the current response's body. */
		private long bodyBytes;

		private boolean closed;

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

		void sendRequest(PendingRequest pending) {
			if (pending.finished) {
				returnToPool();
				return;
			}
			if (this.expiry != null) {
				this.expiry.cancel(false);
			}
			if (this.closed || this.channel == null || !this.channel.isActive()) {
				replaceConnection(pending);
				return;
			}
			if (!pending.listener.maySend()) {
				pending.fail(new RequestFailure(false, "the sender may not send it any more"));
				returnToPool();
				return;
			}
			pending.connection = this;
			this.current = pending;
			this.head = null;
			this.bodyBytes = 0;
			this.requestCount++;
			if (pending.id != null) {
				this.recentIds.add(pending.id);
			}
			else {
				this.carriedRequestWithoutId = true;
			}
			this.channel.pipeline().get(ResponseDecoder.class).expectResponse(pending.request.method());
			this.channel.writeAndFlush(pending.request)
				.addListener((written) -> failUnwritten(pending, written.cause()));
		}

		/**
		 * Fails a request that cannot be written. A response without a length would end
		 * as if the target had closed the connection.
		 */
		private void failUnwritten(PendingRequest pending, @Nullable Throwable cause) {
			if (cause != null && !(cause instanceof ClosedChannelException) && this.current == pending) {
				failCurrent("connection lost: " + cause.getMessage());
			}
		}

		/** Sends a request elsewhere if its connection was closed before it was sent. */
		private void replaceConnection(PendingRequest pending) {
			if (this.requestCount > 0) {
				connect(this.address, pending);
			}
			else {
				pending.fail(new RequestFailure(false, "the target closed the new connection"));
			}
		}

		private void returnToPool() {
			this.current = null;
			this.head = null;
			this.expiry = TargetClient.this.loop.schedule(this::close, Math.max(1, this.usableUntilMs - nowMs()),
					TimeUnit.MILLISECONDS);
			TargetClient.this.idleConnectionsByAddress.computeIfAbsent(this.address, (absent) -> new ArrayDeque<>())
				.addLast(this);
		}

		void close() {
			this.closed = true;
			Deque<Connection> idle = TargetClient.this.idleConnectionsByAddress.get(this.address);
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
				if (message instanceof ResponseDecoder.StrayBytes strayBytes) {
					closeAfterStrayBytes(strayBytes.count());
				}
				else if (message instanceof HttpObject object && this.current != null && !this.closed) {
					onObject(this.current, object);
				}
			}
			finally {
				ReferenceCountUtil.release(message);
			}
		}

		private void closeAfterStrayBytes(int count) {
			if (!this.closed) {
				LOGGER.atInfo()
					.log("event=stray_bytes address=%s detail=\"%d bytes arrived while no response was expected, %s\"",
							this.address, count, describeConnection());
			}
			close();
		}

		private String describeConnection() {
			return "after %d requests on the connection and %d bytes of the body".formatted(this.requestCount,
					this.bodyBytes);
		}

		private void onObject(PendingRequest pending, HttpObject object) {
			if (object.decoderResult().isFailure()) {
				failCurrent("the response is malformed: " + object.decoderResult().cause().getClass().getSimpleName()
						+ ", " + describeConnection());
				return;
			}
			if (object instanceof HttpResponse response) {
				if (response.status().code() < FIRST_FINAL_STATUS || response.status().code() > LAST_STATUS) {
					failCurrent("the status of the response is %d, not from %d to %d"
						.formatted(response.status().code(), FIRST_FINAL_STATUS, LAST_STATUS));
					return;
				}
				if (!isAnswer(pending, response)) {
					failCurrent("the response belongs to another request, " + describeConnection());
					return;
				}
				this.head = response;
				pending.listener.onHead(response);
			}
			if (object instanceof HttpContent content && !pending.finished) {
				this.bodyBytes += content.content().readableBytes();
				if (this.bodyBytes > pending.listener.maximumBodyBytes()) {
					failCurrent("the response body exceeds " + pending.listener.maximumBodyBytes() + " bytes");
					return;
				}
				if (content.content().isReadable()) {
					pending.listener.onContent(content.content());
				}
				if (object instanceof LastHttpContent && !pending.finished) {
					end(pending);
				}
			}
		}

		/** Returns whether no late copy could pass for the response to a request. */
		boolean mayCarry(@Nullable String id) {
			if (TargetClient.this.ids == null) {
				return true;
			}
			return (id != null) ? !this.recentIds.mayContain(id) : !this.carriedRequestWithoutId;
		}

		private boolean isAnswer(PendingRequest pending, HttpResponse response) {
			String receivedId = idOf(response);
			if (TargetClient.this.ids == null || Objects.equals(pending.id, receivedId)) {
				return true;
			}
			// A target may refuse a request before it has read the id, but a success
			// always carries the id.
			return receivedId == null && this.requestCount == 1
					&& response.status().code() >= HttpResponseStatus.MULTIPLE_CHOICES.code();
		}

		private void end(PendingRequest pending) {
			HttpResponse completeHead = this.head;
			if (completeHead == null) {
				failCurrent("the response has no status line");
				return;
			}
			pending.finished = true;
			this.current = null;
			boolean idMissing = pending.id != null && idOf(completeHead) == null;
			if (HttpUtil.isKeepAlive(completeHead) && isFramed(completeHead) && !idMissing) {
				this.usableUntilMs = nowMs() + idleTimeoutMs(completeHead) - IDLE_MARGIN_MS;
				returnToPool();
			}
			else {
				close();
			}
			pending.listener.onEnd(completeHead);
		}

		private static boolean isFramed(HttpResponse response) {
			return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
		}

		private static long idleTimeoutMs(HttpResponse response) {
			for (String part : response.headers().get("Keep-Alive", "").split(",")) {
				String[] pair = part.trim().split("=");
				if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
					return TimeUnit.SECONDS.toMillis(Long.parseLong(pair[1]));
				}
			}
			return DEFAULT_IDLE_TIMEOUT_MS;
		}

		private void failCurrent(String cause) {
			this.failureCause = cause;
			PendingRequest pending = this.current;
			this.current = null;
			close();
			if (pending != null) {
				pending.fail(new RequestFailure(true, cause));
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			failCurrent(this.failureCause);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			failCurrent("connection lost: " + cause.getMessage());
		}

	}

	/** Reads the id that a target repeats in the response to a request. */
	@FunctionalInterface
	public interface RequestIds {

		/**
		 * Returns the id of a request or response.
		 * @param message the headers
		 * @return the id, or null if there is none
		 */
		@Nullable String requestId(HttpMessage message);

	}

}
