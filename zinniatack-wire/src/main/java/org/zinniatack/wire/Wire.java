package org.zinniatack.wire;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The sockets of one process: its listener and the connections that it opens.
 */
public final class Wire {

	/** The largest frame after the handshake, in bytes. */
	public static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

	private static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 4096;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MS = 2_000;

	private static final long STOP_TIMEOUT_MS = 2_000;

	private final PeerIdentity own;

	private final ClusterSecret secret;

	private final PeerHandler handler;

	private final Supplier<EventLoopGroup> group;

	private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

	private volatile boolean stopped;

	/**
	 * Returns the sockets of a process, none open.
	 * @param own who this process is
	 * @param secret the cluster secret
	 * @param handler what to do with the connections
	 * @param group provides the event loops, which the caller stops; a process that
	 * serves HTTP shares them, so that a request changes threads as seldom as it can
	 */
	public Wire(PeerIdentity own, ClusterSecret secret, PeerHandler handler, Supplier<EventLoopGroup> group) {
		this.own = Objects.requireNonNull(own, "own");
		this.secret = Objects.requireNonNull(secret, "secret");
		this.handler = Objects.requireNonNull(handler, "handler");
		this.group = Objects.requireNonNull(group, "group");
	}

	/**
	 * Returns event loops for a process without HTTP.
	 * @param threadCount the number of event loops
	 * @return the event loops, whose threads do not keep the process alive
	 */
	public static EventLoopGroup eventLoops(int threadCount) {
		return new MultiThreadIoEventLoopGroup(threadCount, new DefaultThreadFactory("wire", true),
				NioIoHandler.newFactory());
	}

	/**
	 * Opens a connection.
	 * @param address the address as host and port
	 * @return the connection after its handshake; it fails with a
	 * {@link ServiceException}
	 */
	public CompletableFuture<Peer> connect(String address) {
		CompletableFuture<Peer> opened = new CompletableFuture<>();
		new Bootstrap().group(this.group.get())
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(initializer(true, opened::complete))
			.connect(parse(address))
			.addListener((connecting) -> {
				if (!connecting.isSuccess()) {
					opened.completeExceptionally(ServiceException.of(ResultCode.PEER_LOST,
							"cannot reach " + address + ": " + connecting.cause()));
				}
				else {
					((ChannelFuture) connecting).channel()
						.closeFuture()
						.addListener((closed) -> opened.completeExceptionally(
								ServiceException.of(ResultCode.HANDSHAKE_REFUSED, address + " closed the connection")));
				}
			});
		return opened;
	}

	/**
	 * Starts to accept connections.
	 * @param address the address as host and port; port 0 takes a free one
	 * @return the port
	 * @throws ServiceException if the address cannot be bound
	 */
	public int listen(String address) throws ServiceException {
		ChannelFuture bound = new ServerBootstrap().group(this.group.get())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer(false, (peer) -> {
			}))
			.bind(parse(address))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw ServiceException.of(ResultCode.SETTINGS_INVALID,
					"cannot listen on " + address + ": " + bound.cause().getMessage());
		}
		this.channels.add(bound.channel());
		return ((InetSocketAddress) bound.channel().localAddress()).getPort();
	}

	/**
	 * Runs an action on an event loop after a delay.
	 * @param action the action
	 * @param delayMs the delay, in milliseconds
	 */
	public void schedule(Runnable action, long delayMs) {
		if (!this.stopped && !this.group.get().isShuttingDown()) {
			this.group.get().schedule(action, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Closes all sockets.
	 */
	public void stop() {
		this.stopped = true;
		this.channels.close().awaitUninterruptibly(STOP_TIMEOUT_MS);
	}

	private ChannelInitializer<SocketChannel> initializer(boolean opener, Consumer<Peer> opened) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				Wire.this.channels.add(channel);
				channel.pipeline()
					.addLast(
							new LengthFieldBasedFrameDecoder(MAXIMUM_HANDSHAKE_FRAME_BYTES, 0, LENGTH_BYTES, 0,
									LENGTH_BYTES),
							new LengthFieldPrepender(LENGTH_BYTES), new FrameCodec(), new Handshake(Wire.this.secret,
									Wire.this.own, Wire.this.handler, opener, MAXIMUM_FRAME_BYTES, opened));
			}
		};
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
