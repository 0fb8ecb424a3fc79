package org.zinniatack.wire;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
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

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * The sockets of one process: its listener and the connections that it opens.
 */
public final class PeerNetwork {

	/** The largest frame after the handshake, in bytes. */
	public static final int MAXIMUM_FRAME_BYTES = 64 * 1024 * 1024;

	private static final int MAXIMUM_HANDSHAKE_FRAME_BYTES = 4096;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final long STOP_TIMEOUT_MS = 2_000;

	private final PeerIdentity own;

	private final ClusterSecret secret;

	private final PeerHandler handler;

	private final EventLoopGroup group;

	private final ChannelGroup channels;

	/**
	 * Returns the sockets of a process, none open.
	 * @param own who this process is
	 * @param secret the cluster secret
	 * @param handler what to do with the connections
	 * @param threadCount the number of event loops
	 */
	public PeerNetwork(PeerIdentity own, ClusterSecret secret, PeerHandler handler, int threadCount) {
		this.own = Objects.requireNonNull(own, "own");
		this.secret = Objects.requireNonNull(secret, "secret");
		this.handler = Objects.requireNonNull(handler, "handler");
		this.group = new MultiThreadIoEventLoopGroup(threadCount, NioIoHandler.newFactory());
		this.channels = new DefaultChannelGroup(this.group.next(), true);
	}

	/**
	 * Opens a connection.
	 * @param address the address as host and port
	 * @return the connection after its handshake; it fails with a
	 * {@link ServiceException}
	 */
	public CompletableFuture<Peer> connect(String address) {
		CompletableFuture<Peer> opened = new CompletableFuture<>();
		new Bootstrap().group(this.group)
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
		ChannelFuture bound = new ServerBootstrap().group(this.group)
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
		if (!this.group.isShuttingDown()) {
			this.group.schedule(action, delayMs, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Closes all sockets. They are closed before the event loops, which without a quiet
	 * period may end with their channels still open.
	 */
	public void stop() {
		this.channels.close().awaitUninterruptibly();
		this.group.shutdownGracefully(0, STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private ChannelInitializer<SocketChannel> initializer(boolean opener, Consumer<Peer> opened) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				PeerNetwork.this.channels.add(channel);
				channel.pipeline()
					.addLast(
							new LengthFieldBasedFrameDecoder(MAXIMUM_HANDSHAKE_FRAME_BYTES, 0, LENGTH_BYTES, 0,
									LENGTH_BYTES),
							new LengthFieldPrepender(LENGTH_BYTES), new FrameCodec(),
							new Handshake(PeerNetwork.this.secret, PeerNetwork.this.own, PeerNetwork.this.handler,
									opener, MAXIMUM_FRAME_BYTES, opened));
			}
		};
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
