package org.zinniatack.wire;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.timeout.IdleStateHandler;

import org.zinniatack.core.result.ResultCode;

/**
 * Proves both sides to each other before any other message is read, then gives the
 * channel to a {@link ChannelPeer}.
 */
final class Handshake extends SimpleChannelInboundHandler<Frame> {

	/** The version of the protocol that this build speaks. */
	static final int PROTOCOL_VERSION = 4;

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final String OPENER = "opener";

	private static final String ACCEPTOR = "acceptor";

	private static final long HANDSHAKE_TIMEOUT_MS = 5_000;

	private static final long HEARTBEAT_INTERVAL_MS = 700;

	/** Three heartbeats and some delay; a connection may fall silent without closing. */
	private static final long SILENCE_LIMIT_MS = 2_500;

	private static final int LENGTH_BYTES = 4;

	private final ClusterSecret secret;

	private final PeerIdentity own;

	private final PeerHandler handler;

	private final boolean opener;

	private final int maximumFrameBytes;

	private final Consumer<Peer> opened;

	private final String nonce = ClusterSecret.nonce();

	private PeerIdentity remote = new PeerIdentity("unknown", "unknown");

	private String remoteNonce = "";

	Handshake(ClusterSecret secret, PeerIdentity own, PeerHandler handler, boolean opener, int maximumFrameBytes,
			Consumer<Peer> opened) {
		this.secret = secret;
		this.own = own;
		this.handler = handler;
		this.opener = opener;
		this.maximumFrameBytes = maximumFrameBytes;
		this.opened = opened;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.executor().schedule(() -> {
			if (context.pipeline().context(this) != null) {
				refuse(context, ResultCode.HANDSHAKE_REFUSED, "no handshake in time");
			}
		}, HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		if (this.opener) {
			write(context, new Message.Hello(PROTOCOL_VERSION, this.own.role(), this.own.nodeId(), this.nonce));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		Message message = frame.message();
		if (message instanceof Message.Hello hello && !this.opener && this.remoteNonce.isEmpty()) {
			onHello(context, hello);
		}
		else if (message instanceof Message.Challenge challenge && this.opener && this.remoteNonce.isEmpty()) {
			onChallenge(context, challenge);
		}
		else if (message instanceof Message.Proof proof && !this.opener && !this.remoteNonce.isEmpty()) {
			onProof(context, proof);
		}
		else if (message instanceof Message.Welcome && this.opener && !this.remoteNonce.isEmpty()) {
			finish(context);
		}
		else if (message instanceof Message.Failure failure && this.opener) {
			refuse(context, failure.code(), failure.detail());
		}
		else {
			refuse(context, ResultCode.HANDSHAKE_REFUSED, "unexpected message in the handshake");
		}
	}

	private void onHello(ChannelHandlerContext context, Message.Hello hello) {
		if (hello.protocolVersion() != PROTOCOL_VERSION) {
			refuse(context, ResultCode.PROTOCOL_VERSION_UNKNOWN, "version " + hello.protocolVersion());
			return;
		}
		this.remote = new PeerIdentity(hello.role(), hello.nodeId());
		this.remoteNonce = hello.nonce();
		write(context, new Message.Challenge(this.own.nodeId(), this.nonce,
				this.secret.proof(ACCEPTOR, this.own.nodeId(), this.remoteNonce, this.nonce)));
	}

	private void onChallenge(ChannelHandlerContext context, Message.Challenge challenge) {
		String expected = this.secret.proof(ACCEPTOR, challenge.nodeId(), this.nonce, challenge.nonce());
		if (!ClusterSecret.sameProof(expected, challenge.proof())) {
			refuse(context, ResultCode.HANDSHAKE_REFUSED, "the acceptor does not hold the cluster secret");
			return;
		}
		this.remote = new PeerIdentity("acceptor", challenge.nodeId());
		this.remoteNonce = challenge.nonce();
		write(context, new Message.Proof(
				this.secret.proof(OPENER, this.own.role() + ':' + this.own.nodeId(), this.nonce, this.remoteNonce)));
	}

	private void onProof(ChannelHandlerContext context, Message.Proof proof) {
		String expected = this.secret.proof(OPENER, this.remote.role() + ':' + this.remote.nodeId(), this.remoteNonce,
				this.nonce);
		if (!ClusterSecret.sameProof(expected, proof.proof())) {
			refuse(context, ResultCode.HANDSHAKE_REFUSED, "the opener does not hold the cluster secret");
			return;
		}
		write(context, new Message.Welcome());
		finish(context);
	}

	private void finish(ChannelHandlerContext context) {
		ChannelPeer peer = new ChannelPeer(context.channel(), this.remote, this.handler, this.opener);
		context.pipeline()
			.replace(LengthFieldBasedFrameDecoder.class, "frames",
					new LengthFieldBasedFrameDecoder(this.maximumFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		context.pipeline()
			.addLast(new IdleStateHandler(SILENCE_LIMIT_MS, HEARTBEAT_INTERVAL_MS, 0, TimeUnit.MILLISECONDS), peer);
		context.pipeline().remove(this);
		this.handler.onOpen(peer);
		this.opened.accept(peer);
	}

	private void refuse(ChannelHandlerContext context, ResultCode code, String detail) {
		LOGGER.atWarning()
			.log("event=handshake_refused peer=%s code=%d detail=\"%s\"", context.channel().remoteAddress(),
					code.number(), detail);
		context.writeAndFlush(new Frame(0, true, new Message.Failure(code, detail, 0)))
			.addListener((done) -> context.close());
	}

	private void write(ChannelHandlerContext context, Message message) {
		context.writeAndFlush(new Frame(0, false, message));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		refuse(context, ResultCode.HANDSHAKE_REFUSED, "not a frame of this protocol");
	}

}
