package org.zinniatack.gateway.http;

import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
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
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.table.CallerLimits;
import org.zinniatack.process.ProcessEnd;
import org.zinniatack.wire.ListenFailure;

/**
 * Accepts HTTP connections and passes the requests of each one to a handler, one at a
 * time. While it drains, each connection is closed after its current or next response.
 */
public final class HttpListener {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

	private static final int CHUNK_BYTES = 8 * 1024;

	private static final int BACKLOG = 1024;

	private static final long FREEZE_CHECK_MS = 200;

	private static final long IDLE_POLL_MS = 20;

	/** Time to read the data that the network buffered while the VM was suspended. */
	private static final long RESUME_DELAY_MS = 30;

	/** Pipelined requests that one connection may queue; more stay in its socket. */
	private static final int MAXIMUM_PIPELINED_REQUESTS = 16;

	private final EventLoopGroup group;

	private final ExchangeHandler handler;

	private final Supplier<CallerLimits> limits;

	/** Detects that the VM was suspended. */
	private final FreezeDetector freezeDetector = new FreezeDetector();

	private final Set<ConnectionHandler> connections = new HashSet<>();

	private volatile @Nullable Channel server;

	private volatile boolean draining;

	/**
	 * Creates a listener that is not open.
	 * @param group the group of the single event loop to run on
	 * @param limits returns the limits on requests, evaluated for each new connection
	 * @param handler handles the requests
	 */
	public HttpListener(EventLoopGroup group, Supplier<CallerLimits> limits, ExchangeHandler handler) {
		this.group = group;
		this.limits = limits;
		this.handler = handler;
	}

	/**
	 * Starts to accept connections.
	 * @param address host and port; port 0 selects a free port
	 * @return the bound port
	 * @throws ServiceException with ADDRESS_IN_USE if the port is taken, or
	 * SETTINGS_INVALID
	 */
	public int open(String address) throws ServiceException {
		int colon = address.lastIndexOf(':');
		this.group.execute(this::checkForFreeze);
		return started(address, bootstrap().channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.bind(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))));
	}

	/**
	 * Starts to accept connections on a socket that listens already, first those that
	 * wait in its backlog.
	 * @param listening the socket, which this listener closes
	 * @param listenedMs returns for how long it has listened, in milliseconds
	 * @return the bound port
	 * @throws ServiceException with SETTINGS_INVALID if the socket cannot be used
	 */
	public int open(ServerSocketChannel listening, LongSupplier listenedMs) throws ServiceException {
		this.group.execute(() -> {
			checkForFreeze();
			this.freezeDetector.allowForWait(listenedMs.getAsLong(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		});
		return started(String.valueOf(listening.socket().getLocalSocketAddress()),
				bootstrap().channelFactory(() -> new NioServerSocketChannel(listening)).register());
	}

	private ServerBootstrap bootstrap() {
		return new ServerBootstrap().group(this.group)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					CallerLimits current = HttpListener.this.limits.get();
					ArrivalClock arrivals = new ArrivalClock(() -> arrivalMs(channel));
					channel.pipeline()
						.addLast(arrivals.beforeDecoder(),
								new HttpServerCodec(MAXIMUM_LINE_BYTES, current.headerBytes(), CHUNK_BYTES),
								arrivals.afterDecoder(), new HttpObjectAggregator(current.bodyBytes(), true),
								new IdleStateHandler(0, 0, current.idleTimeoutMs(), TimeUnit.MILLISECONDS),
								new ConnectionHandler(arrivals));
				}
			});
	}

	private int started(String address, ChannelFuture opened) throws ServiceException {
		opened.awaitUninterruptibly();
		if (!opened.isSuccess()) {
			throw ListenFailure.of(address, opened.cause());
		}
		this.server = opened.channel();
		this.group.scheduleWithFixedDelay(ProcessEnd.halt().guard("freeze", this::checkForFreeze), FREEZE_CHECK_MS,
				FREEZE_CHECK_MS, TimeUnit.MILLISECONDS);
		return ((InetSocketAddress) opened.channel().localAddress()).getPort();
	}

	/** Returns the earliest time at which bytes that are read now may have arrived. */
	private long arrivalMs(Channel channel) {
		checkForFreeze();
		return TimeUnit.NANOSECONDS.toMillis(channel.eventLoop().ticker().nanoTime())
				- this.freezeDetector.unreadMs(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
	}

	private void checkForFreeze() {
		if (this.freezeDetector.check(System.currentTimeMillis(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))) {
			LOGGER.atWarning().log("event=freeze_noticed active=%d", activeRequestCount());
		}
	}

	/** Returns a time that goes on while the VM is suspended. */
	private long elapsedMs() {
		checkForFreeze();
		return this.freezeDetector.elapsedMs(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
	}

	/** Closes each connection after its current or next response. */
	public void drain() {
		this.draining = true;
		this.group.execute(() -> this.connections.forEach(ConnectionHandler::drain));
	}

	/**
	 * Stops accepting connections and closes those that have nothing left to do.
	 * @return the number of connections with a request that arrives or runs or a response
	 * that is not yet written, counted on the event loop, since another thread would miss
	 * requests that the loop is about to handle
	 */
	public Future<Integer> closeIdle() {
		return this.group.submit(() -> {
			if (this.server != null) {
				this.server.close();
			}
			Set.copyOf(this.connections)
				.stream()
				.filter((connection) -> !connection.isBusy())
				.forEach(ConnectionHandler::close);
			return (int) this.connections.stream().filter(ConnectionHandler::isBusy).count();
		});
	}

	/**
	 * Stops accepting connections and waits until all have nothing left to do.
	 * @param timeoutMs the longest time to wait, in milliseconds
	 * @return the number of connections that still have something to do
	 * @throws InterruptedException if the thread is interrupted
	 */
	public int awaitIdle(long timeoutMs) throws InterruptedException {
		long startedNs = System.nanoTime();
		int busy = closeIdle().sync().getNow();
		while (busy > 0 && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs) < timeoutMs) {
			TimeUnit.MILLISECONDS.sleep(IDLE_POLL_MS);
			busy = closeIdle().sync().getNow();
		}
		return busy;
	}

	/**
	 * Closes the port, before the event loop is shut down: a loop that is shut down
	 * without a quiet period while it runs a task ends without closing its channels, and
	 * the port would stay taken as long as the process runs. Connections stay as they
	 * are.
	 */
	public void close() {
		Channel open = this.server;
		if (open != null) {
			open.close().awaitUninterruptibly();
		}
	}

	private int activeRequestCount() {
		return (int) this.connections.stream().filter((connection) -> connection.current != null).count();
	}

	/**
	 * A request that was read.
	 *
	 * @param request the request
	 * @param firstByteAtMs the time at which its first byte arrived
	 * @param sentSinceMs the earliest time at which its caller may have sent it, as
	 * {@link #elapsedMs} states it
	 */
	private record PendingRequest(FullHttpRequest request, long firstByteAtMs, long sentSinceMs) {
	}

	/** Handles the requests of one connection in order. */
	private final class ConnectionHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final ArrivalClock arrivals;

		private final Queue<PendingRequest> pendingRequests = new ArrayDeque<>();

		private @Nullable ChannelHandlerContext context;

		private volatile @Nullable Exchange current;

		/** The earliest time at which the next request may have been sent. */
		private long nextSentSinceMs;

		/** The time at which the last request was read. */
		private long lastReadMs;

		/** Whether nothing that arrives can be answered any more. */
		private boolean lastResponseSent;

		ConnectionHandler(ArrivalClock arrivals) {
			this.arrivals = arrivals;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			this.context = context;
			HttpListener.this.connections.add(this);
			checkForFreeze();
			this.nextSentSinceMs = HttpListener.this.freezeDetector
				.openedSinceMs(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			HttpListener.this.connections.remove(this);
			discardPendingRequests();
			Exchange interrupted = this.current;
			this.current = null;
			if (interrupted != null) {
				interrupted.connectionClosed();
			}
		}

		private void discardPendingRequests() {
			this.pendingRequests.forEach((pending) -> pending.request().release());
			this.pendingRequests.clear();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			if (this.lastResponseSent) {
				return;
			}
			if (request.decoderResult().isFailure()) {
				LOGGER.atInfo()
					.log("event=request_malformed caller=%s cause=\"%s\"", context.channel().remoteAddress(),
							request.decoderResult().cause().getMessage());
				Exchange malformed = new Exchange(context.channel(), request, this.arrivals.firstByteAtMs(), () -> 0L,
						true, () -> {
						});
				malformed.respond(HttpResponseStatus.BAD_REQUEST, new DefaultHttpHeaders(),
						io.netty.buffer.Unpooled.EMPTY_BUFFER);
				return;
			}
			this.lastReadMs = elapsedMs();
			this.pendingRequests
				.add(new PendingRequest(request.retain(), this.arrivals.firstByteAtMs(), this.nextSentSinceMs));
			if (this.pendingRequests.size() >= MAXIMUM_PIPELINED_REQUESTS) {
				context.channel().config().setAutoRead(false);
			}
			checkForFreeze();
			if (HttpListener.this.freezeDetector.hasRecentlyResumed(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()))) {
				// The caller may have closed the connection during the suspension.
				context.executor().schedule(this::handleNext, RESUME_DELAY_MS, TimeUnit.MILLISECONDS);
			}
			else {
				handleNext();
			}
		}

		private void handleNext() {
			ChannelHandlerContext openContext = this.context;
			if (this.current != null || this.pendingRequests.isEmpty() || openContext == null) {
				return;
			}
			PendingRequest pending = this.pendingRequests.remove();
			Exchange exchange = new Exchange(openContext.channel(), pending.request(), pending.firstByteAtMs(),
					() -> elapsedMs() - pending.sentSinceMs(), HttpListener.this.draining, this::onExchangeCompleted);
			pending.request().release();
			this.current = exchange;
			openContext.channel().config().setAutoRead(true);
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

		private void onExchangeCompleted() {
			Exchange completed = this.current;
			if (completed != null && completed.closesConnection()) {
				this.lastResponseSent = true;
				discardPendingRequests();
			}
			this.current = null;
			ChannelHandlerContext openContext = this.context;
			if (openContext != null) {
				openContext.executor().execute(this::handleAfterCompletion);
			}
		}

		private void handleAfterCompletion() {
			if (!hasRequest() && !isArriving()) {
				// The caller sends the next request once it has the response. Bytes that
				// it sends before may have arrived since the last request was read.
				this.nextSentSinceMs = this.lastReadMs;
			}
			handleNext();
		}

		private void drain() {
			Exchange running = this.current;
			if (running != null) {
				running.closeWhenComplete();
			}
		}

		/** Returns whether a part of a request that can be answered has arrived. */
		private boolean isArriving() {
			return this.arrivals.isReading() && !this.lastResponseSent;
		}

		/** Returns whether a request runs or waits. */
		private boolean hasRequest() {
			return this.current != null || !this.pendingRequests.isEmpty();
		}

		/**
		 * Returns whether a request arrives, waits or runs, or a response is not yet
		 * written.
		 */
		private boolean isBusy() {
			ChannelHandlerContext openContext = this.context;
			return hasRequest() || isArriving()
					|| (openContext != null && Exchange.unsentBytes(openContext.channel()) > 0);
		}

		private void close() {
			ChannelHandlerContext openContext = this.context;
			if (openContext != null) {
				openContext.close();
			}
		}

		/** Closes the connection of a caller that neither sends nor reads anything. */
		@Override
		public void userEventTriggered(ChannelHandlerContext context, Object event) {
			if (event instanceof IdleStateEvent && !hasRequest()) {
				close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			LOGGER.atFine().log("event=caller_connection_lost cause=\"%s\"", cause.getMessage());
			context.close();
		}

	}

}
