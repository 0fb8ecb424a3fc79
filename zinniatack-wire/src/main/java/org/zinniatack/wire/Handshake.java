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
 * Authenticates both sides of a new connection to each other, then replaces itself in the
 * pipeline by a {@link ChannelPeer}. No other message is accepted before.
 */
final class Handshake extends SimpleChannelInboundHandler<Frame> {

	/** The protocol version of this build; both sides must have the same. */
	static final int PROTOCOL_VERSION = 4;

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	private static final String OPENER = "opener";

	private static final String ACCEPTOR = "acceptor";

	private static final long HANDSHAKE_TIMEOUT_MS = 5_000;

	private static final long HEARTBEAT_INTERVAL_MS = 700;

	/**
	 * Three heartbeat intervals and a margin for delays. The timeout detects peers that
	 * vanished without closing the connection.
	 */
	private static final long READ_IDLE_TIMEOUT_MS = 2_500;

	private static final int LENGTH_BYTES = 4;

	private final ClusterSecret secret;

	private final PeerIdentity ownIdentity;

	private final PeerHandler handler;

	private final boolean opener;

	private final int maximumFrameBytes;

	private final Consumer<Peer> onOpened;

	private final String ownNonce = ClusterSecret.nonce();

	private PeerIdentity remoteIdentity = new PeerIdentity("unknown", "unknown");

	private String remoteNonce = "";

	Handshake(ClusterSecret secret, PeerIdentity ownIdentity, PeerHandler handler, boolean opener,
			int maximumFrameBytes, Consumer<Peer> onOpened) {
		this.secret = secret;
		this.ownIdentity = ownIdentity;
		this.handler = handler;
		this.opener = opener;
		this.maximumFrameBytes = maximumFrameBytes;
		this.onOpened = onOpened;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.executor().schedule(() -> {
			if (context.pipeline().context(this) != null) {
				refuse(context, ResultCode.HANDSHAKE_REFUSED,
						"handshake not completed within " + HANDSHAKE_TIMEOUT_MS + " ms");
			}
		}, HANDSHAKE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
		if (this.opener) {
			write(context, new Message.Hello(PROTOCOL_VERSION, this.ownIdentity.role(), this.ownIdentity.nodeId(),
					this.ownNonce));
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
			complete(context);
		}
		else if (message instanceof Message.Failure failure && this.opener) {
			refuse(context, failure.code(), failure.detail());
		}
		else {
			refuse(context, ResultCode.HANDSHAKE_REFUSED,
					"unexpected message " + message.getClass().getSimpleName() + " during the handshake");
		}
	}

	private void onHello(ChannelHandlerContext context, Message.Hello hello) {
		if (hello.protocolVersion() != PROTOCOL_VERSION) {
			refuse(context, ResultCode.PROTOCOL_VERSION_UNKNOWN,
					"unsupported protocol version " + hello.protocolVersion() + ", expected " + PROTOCOL_VERSION);
			return;
		}
		this.remoteIdentity = new PeerIdentity(hello.role(), hello.nodeId());
		this.remoteNonce = hello.nonce();
		write(context, new Message.Challenge(this.ownIdentity.nodeId(), this.ownNonce,
				this.secret.proof(ACCEPTOR, this.ownIdentity.nodeId(), this.remoteNonce, this.ownNonce)));
	}

	private void onChallenge(ChannelHandlerContext context, Message.Challenge challenge) {
		String expected = this.secret.proof(ACCEPTOR, challenge.nodeId(), this.ownNonce, challenge.nonce());
		if (!ClusterSecret.proofsMatch(expected, challenge.proof())) {
			refuse(context, ResultCode.HANDSHAKE_REFUSED,
					"the proof of the accepting process does not match the cluster secret");
			return;
		}
		this.remoteIdentity = new PeerIdentity("acceptor", challenge.nodeId());
		this.remoteNonce = challenge.nonce();
		write(context, new Message.Proof(this.secret.proof(OPENER,
				this.ownIdentity.role() + ':' + this.ownIdentity.nodeId(), this.ownNonce, this.remoteNonce)));
	}

	private void onProof(ChannelHandlerContext context, Message.Proof proof) {
		String expected = this.secret.proof(OPENER, this.remoteIdentity.role() + ':' + this.remoteIdentity.nodeId(),
				this.remoteNonce, this.ownNonce);
		if (!ClusterSecret.proofsMatch(expected, proof.proof())) {
			refuse(context, ResultCode.HANDSHAKE_REFUSED,
					"the proof of the opening process does not match the cluster secret");
			return;
		}
		write(context, new Message.Welcome());
		complete(context);
	}

	private void complete(ChannelHandlerContext context) {
		ChannelPeer peer = new ChannelPeer(context.channel(), this.remoteIdentity, this.handler, this.opener);
		context.pipeline()
			.replace(LengthFieldBasedFrameDecoder.class, "frames",
					new LengthFieldBasedFrameDecoder(this.maximumFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
		// First, so that a frame that arrives slowly is no silence.
		context.pipeline()
			.addFirst(new IdleStateHandler(READ_IDLE_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS, 0, TimeUnit.MILLISECONDS))
			.addLast(peer);
		context.pipeline().remove(this);
		this.handler.onOpen(peer);
		this.onOpened.accept(peer);
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
		refuse(context, ResultCode.HANDSHAKE_REFUSED, "the handshake failed while a frame was read or decoded");
	}

}
