package org.zinniatack.wire;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Listens for connections from other processes and opens connections to them, all on one
 * event loop group.
 */
public final class PeerNetwork {

	/** The largest frame after the handshake, in bytes. */
	public static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

	private static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 4096;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final long SHUTDOWN_TIMEOUT_MS = 2_000;

	private static final int LARGE_FRAME_THREADS = 2;

	private final PeerIdentity ownIdentity;

	private final ClusterSecret secret;

	private final PeerHandler handler;

	private final EventLoopGroup eventLoops;

	private final ChannelGroup channels;

	private final ExecutorService largeFrames = Executors.newFixedThreadPool(LARGE_FRAME_THREADS,
			new DefaultThreadFactory("large-frames", true));

	/**
	 * Creates the event loops. No socket is opened yet.
	 * @param ownIdentity the identity of this process
	 * @param secret the cluster secret
	 * @param handler the handler of all connections
	 * @param threadCount the number of event loops, each with its own thread
	 */
	public PeerNetwork(PeerIdentity ownIdentity, ClusterSecret secret, PeerHandler handler, int threadCount) {
		this.ownIdentity = Objects.requireNonNull(ownIdentity, "ownIdentity");
		this.secret = Objects.requireNonNull(secret, "secret");
		this.handler = Objects.requireNonNull(handler, "handler");
		this.eventLoops = new MultiThreadIoEventLoopGroup(threadCount, NioIoHandler.newFactory());
		this.channels = new DefaultChannelGroup(this.eventLoops.next(), true);
	}

	/**
	 * Opens a connection.
	 * @param address the address as {@code host:port}
	 * @return the connection once its handshake is complete; fails with a
	 * {@link ServiceException} with PEER_LOST or HANDSHAKE_REFUSED
	 */
	public CompletableFuture<Peer> connect(String address) {
		CompletableFuture<Peer> opened = new CompletableFuture<>();
		new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(channelInitializer(true, opened::complete))
			.connect(socketAddress(address))
			.addListener((connecting) -> {
				if (!connecting.isSuccess()) {
					opened.completeExceptionally(ServiceException.of(ResultCode.PEER_LOST,
							"cannot connect to " + address + ": " + connecting.cause()));
				}
				else {
					((ChannelFuture) connecting).channel()
						.closeFuture()
						.addListener((closed) -> opened
							.completeExceptionally(ServiceException.of(ResultCode.HANDSHAKE_REFUSED,
									address + " closed the connection during the handshake")));
				}
			});
		return opened;
	}

	/**
	 * Starts accepting connections.
	 * @param address the address as {@code host:port}; port 0 selects a free port
	 * @return the bound port
	 * @throws ServiceException with ADDRESS_IN_USE if the port is taken, or
	 * SETTINGS_INVALID
	 */
	public int listen(String address) throws ServiceException {
		ChannelFuture bound = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(channelInitializer(false, (peer) -> {
			}))
			.bind(socketAddress(address))
			.awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw ListenFailure.of(address, bound.cause());
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
		if (!this.eventLoops.isShuttingDown()) {
			this.eventLoops.schedule(action, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Closes all sockets, then stops the event loops. The order matters: event loops that
	 * shut down without a quiet period may terminate while channels are still open.
	 */
	public void stop() {
		this.channels.close().awaitUninterruptibly();
		this.largeFrames.shutdown();
		this.eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private ChannelInitializer<SocketChannel> channelInitializer(boolean opener, Consumer<Peer> onOpened) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				PeerNetwork.this.channels.add(channel);
				channel.pipeline()
					.addLast(
							new LengthFieldBasedFrameDecoder(MAXIMUM_HANDSHAKE_FRAME_BYTES, 0, LENGTH_BYTES, 0,
									LENGTH_BYTES),
							new LengthFieldPrepender(LENGTH_BYTES), new FrameCodec(PeerNetwork.this.largeFrames),
							new Handshake(PeerNetwork.this.secret, PeerNetwork.this.ownIdentity,
									PeerNetwork.this.handler, opener, MAXIMUM_FRAME_BYTES, onOpened));
			}
		};
	}

	private static InetSocketAddress socketAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
