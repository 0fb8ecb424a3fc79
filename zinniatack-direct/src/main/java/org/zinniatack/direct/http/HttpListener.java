package org.zinniatack.direct.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.table.CallerLimits;

/**
 * Accepts HTTP connections and hands their requests over one at a time. While it drains,
 * each connection ends with the answer that is under way.
 */
public final class HttpListener {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	private static final int CHUNK_BYTES = 8 * 1024;

	private static final int BACKLOG = 1024;

	private static final long FREEZE_CHECK_MS = 200;

	/** Enough to read what the network held back during a freeze. */
	private static final long THAW_DELAY_MS = 30;

	/** Requests that one connection may send ahead; further ones wait in its socket. */
	private static final int PIPELINED_REQUESTS = 16;

	private final EventLoopGroup group;

	private final ExchangeHandler handler;

	private final Supplier<CallerLimits> limits;

	/** Notices that the machine stood still while its clock of the day went on. */
	private final FreezeDetector freezes = new FreezeDetector();

	private final Set<ConnectionHandler> connections = new HashSet<>();

	private @Nullable Channel server;

	private volatile boolean draining;

	/**
	 * Returns a listener that is not open.
	 * @param group the single event loop that it runs on
	 * @param limits what callers may send, asked for at each new connection
	 * @param handler what answers the requests
	 */
	public HttpListener(EventLoopGroup group, Supplier<CallerLimits> limits, ExchangeHandler handler) {
		this.group = group;
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Starts to accept connections.
	 * @param address host and port; port 0 takes a free one
	 * @return the port
	 * @throws ServiceException if the address cannot be bound
	 */
	public int open(String address) throws ServiceException {
		int colon = address.lastIndexOf(':');
		ChannelFuture bound = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					CallerLimits current = HttpListener.this.limits.get();
					channel.pipeline()
						.addLast(new HttpServerCodec(MAXIMUM_LINE_BYTES, current.headerBytes(), CHUNK_BYTES),
								new HttpObjectAggregator(current.bodyBytes(), true),
								new IdleStateHandler(0, 0, current.idleTimeoutMs(), TimeUnit.MILLISECONDS),
								new ConnectionHandler());
				}
			})
			.bind(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID,
					"cannot listen on " + address + ": " + bound.cause().getMessage());
		}
		this.server = bound.channel();
		this.group.scheduleWithFixedDelay(this::watchFreezes, FREEZE_CHECK_MS, FREEZE_CHECK_MS, TimeUnit.MILLISECONDS);
		return ((InetSocketAddress) bound.channel().localAddress()).getPort();
	}

	private void watchFreezes() {
		if (this.freezes.check(System.currentTimeMillis(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))) {
			LOGGER.atWarning().log("event=freeze_noticed active=%d", activeRequestCount());
		}
	}

	/** Lets each connection end with the answer that is under way or comes next. */
	public void drain() {
		this.draining = true;
		this.group.execute(() -> this.connections.forEach(ConnectionHandler::drain));
	}

	/** Closes connections on which no request is under way, and accepts no more. */
	public void closeIdle() {
		this.group.execute(() -> {
			if (this.server != null) {
				this.server.close();
			}
			Set.copyOf(this.connections).forEach(ConnectionHandler::closeIfIdle);
		});
	}

	/**
	 * Returns the number of requests that are under way.
	 * @return the number, exact only on the event loop
	 */
	public int activeRequestCount() {
		return (int) this.connections.stream().filter((connection) -> connection.current != null).count();
	}

	/** The requests of one connection. */
	private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Queue<FullHttpRequest> waiting = new ArrayDeque<>();

		private @Nullable ChannelHandlerContext context;

		private volatile @Nullable Exchange current;

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.context = context;
			HttpListener.this.connections.add(this);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			HttpListener.this.connections.remove(this);
			this.waiting.forEach(FullHttpRequest::release);
			this.waiting.clear();
			Exchange over = this.current;
			this.current = null;
			if (over != null) {
				over.connectionClosed();
			}
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			if (request.decoderResult().isFailure()) {
				LOGGER.atInfo()
					.log("event=request_malformed caller=%s cause=\"%s\"", context.channel().remoteAddress(),
							request.decoderResult().cause().getMessage());
				Exchange refused = new Exchange(context.channel(), request, true, () -> {
				});
				refused.respond(HttpResponseStatus.BAD_REQUEST, new DefaultHttpHeaders(),
						io.netty.buffer.Unpooled.EMPTY_BUFFER);
				return;
			}
			this.waiting.add(request.retain());
			if (this.waiting.size() >= PIPELINED_REQUESTS) {
				context.channel().config().setAutoRead(false);
			}
			watchFreezes();
			if (HttpListener.this.freezes.hasRecentlyResumed(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))) {
				// What came during a freeze may be followed by its caller's good-bye.
				context.executor().schedule(this::next, THAW_DELAY_MS, TimeUnit.MILLISECONDS);
			}
			else {
				next();
			}
		}

		private void next() {
			ChannelHandlerContext open = this.context;
			if (this.current != null || this.waiting.isEmpty() || open == null) {
				return;
			}
			FullHttpRequest request = this.waiting.remove();
			Exchange exchange = new Exchange(open.channel(), request, HttpListener.this.draining, this::finished);
			request.release();
			this.current = exchange;
			open.channel().config().setAutoRead(true);
			try {
				HttpListener.this.handler.handle(exchange);
			}
			catch (RuntimeException ex) {
				LOGGER.atSevere()
					.withCause(ex)
					.log("event=request_failed code=%d path=%s", ResultCode.INTERNAL.number(), exchange.path());
				exchange.respondJson(ResultCode.INTERNAL.httpStatus(), "{}");
			}
		}

		private void finished() {
			this.current = null;
			ChannelHandlerContext open = this.context;
			if (open != null) {
				open.executor().execute(this::next);
			}
		}

		private void drain() {
			Exchange running = this.current;
			if (running != null) {
				running.closeAfterAnswer();
			}
		}

		private void closeIfIdle() {
			ChannelHandlerContext open = this.context;
			if (open != null && this.current == null && this.waiting.isEmpty()) {
				open.close();
			}
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent) {
				closeIfIdle();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOGGER.atFine().log("event=caller_connection_lost cause=\"%s\"", cause.getMessage());
			context.close();
		}

	}

}
