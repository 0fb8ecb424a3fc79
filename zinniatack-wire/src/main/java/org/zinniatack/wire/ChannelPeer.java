package org.zinniatack.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;

/**
 * Multiplexes the exchanges of one connection over its Netty channel. All mutable state
 * is confined to the channel's event loop.
 */
final class ChannelPeer extends SimpleChannelInboundHandler<Frame> implements Peer {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	static final long NOTIFICATION_ID = 0;

	private final Channel channel;

	private final PeerIdentity identity;

	private final PeerHandler handler;

	private final Map<Long, ExchangeListener> outgoing = new HashMap<>();

	private final Map<Long, ChannelResponder> incoming = new HashMap<>();

	private long nextExchangeId;

	ChannelPeer(Channel channel, PeerIdentity identity, PeerHandler handler, boolean opener) {
		this.channel = channel;
		this.identity = identity;
		this.handler = handler;
		this.nextExchangeId = opener ? 1 : 2;
	}

	@Override
	public CompletableFuture<Message> call(Message request, long timeoutMs) {
		CompletableFuture<Message> answer = new CompletableFuture<>();
		Runnable cancel = openExchange(request, new CallListener(answer));
		Future<?> timeout = this.channel.eventLoop().schedule(() -> {
			if (answer.completeExceptionally(
					ServiceException.of(ResultCode.CALL_TIMED_OUT, "no answer within " + timeoutMs + " ms"))) {
				cancel.run();
			}
		}, timeoutMs, TimeUnit.MILLISECONDS);
		answer.whenComplete((message, failure) -> timeout.cancel(false));
		return answer;
	}

	@Override
	public void close() {
		this.channel.close();
	}

	@Override
	public PeerIdentity identity() {
		return this.identity;
	}

	@Override
	public boolean isOpen() {
		return this.channel.isActive();
	}

	@Override
	public Runnable openExchange(Message request, ExchangeListener listener) {
		CompletableFuture<Long> id = new CompletableFuture<>();
		runOnEventLoop(() -> id.complete(startExchange(request, listener)));
		return () -> runOnEventLoop(() -> id.thenAccept(this::cancelExchange));
	}

	private long startExchange(Message request, ExchangeListener listener) {
		long id = this.nextExchangeId;
		this.nextExchangeId += 2;
		if (!this.channel.isActive()) {
			listener.onLost(ResultCode.PEER_LOST);
			return id;
		}
		this.outgoing.put(id, listener);
		this.channel.writeAndFlush(new Frame(id, false, request));
		return id;
	}

	private void cancelExchange(long id) {
		if (this.outgoing.remove(id) != null) {
			this.channel.writeAndFlush(new Frame(id, true, new Message.Cancel()));
		}
	}

	@Override
	public void send(Message notification) {
		this.channel.writeAndFlush(new Frame(NOTIFICATION_ID, true, notification));
	}

	@Override
	public void send(EncodedNotification notification) {
		this.channel.writeAndFlush(notification);
	}

	@Override
	public void whenClosed(Runnable action) {
		this.channel.closeFuture().addListener((closed) -> action.run());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		if (frame.exchangeId() == NOTIFICATION_ID) {
			if (!(frame.message() instanceof Message.Heartbeat)) {
				this.handler.onNotification(this, frame.message());
			}
		}
		else if (isOutgoing(frame.exchangeId())) {
			onAnswer(frame);
		}
		else if (frame.message() instanceof Message.Cancel) {
			ChannelResponder responder = this.incoming.remove(frame.exchangeId());
			if (responder != null) {
				responder.markCancelled();
			}
		}
		else {
			ChannelResponder responder = new ChannelResponder(frame.exchangeId());
			this.incoming.put(frame.exchangeId(), responder);
			this.handler.onRequest(this, frame.message(), responder);
		}
	}

	private boolean isOutgoing(long exchangeId) {
		return exchangeId % 2 == this.nextExchangeId % 2;
	}

	private void onAnswer(Frame frame) {
		ExchangeListener listener = frame.last() ? this.outgoing.remove(frame.exchangeId())
				: this.outgoing.get(frame.exchangeId());
		if (listener != null) {
			listener.onMessage(frame.message(), frame.last());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		new ArrayList<>(this.outgoing.values()).forEach((listener) -> listener.onLost(ResultCode.PEER_LOST));
		this.outgoing.clear();
		new ArrayList<>(this.incoming.values()).forEach(ChannelResponder::markCancelled);
		this.incoming.clear();
		this.handler.onClosed(this);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent idle) {
			if (idle.state() == IdleState.WRITER_IDLE) {
				send(new Message.Heartbeat());
			}
			else if (this.channel.config().isAutoRead()) {
				// Otherwise nothing is read while a large frame is decoded.
				context.close();
			}
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOGGER.atWarning()
			.log("event=connection_failed peer=%s role=%s code=%d cause=\"%s\"", this.identity.nodeId(),
					this.identity.role(), ResultCode.FRAME_MALFORMED.number(), cause.getMessage());
		context.close();
	}

	private void runOnEventLoop(Runnable action) {
		if (this.channel.eventLoop().inEventLoop()) {
			action.run();
		}
		else {
			this.channel.eventLoop().execute(action);
		}
	}

	private record CallListener(CompletableFuture<Message> answer) implements ExchangeListener {

		@Override
		public void onMessage(Message message, boolean last) {
			if (message instanceof Message.Failure failure) {
				this.answer.completeExceptionally(
						ServiceException.retryable(failure.code(), failure.detail(), failure.retryAfterMs()));
			}
			else {
				this.answer.complete(message);
			}
		}

		@Override
		public void onLost(ResultCode code) {
			this.answer
				.completeExceptionally(ServiceException.of(code, "the connection was lost before the answer arrived"));
		}

	}

	private final class ChannelResponder implements Responder {

		private final long exchangeId;

		private Runnable cancelAction = () -> {
		};

		private boolean cancelled;

		ChannelResponder(long exchangeId) {
			this.exchangeId = exchangeId;
		}

		@Override
		public void onCancel(Runnable action) {
			runOnEventLoop(() -> {
				if (this.cancelled) {
					action.run();
				}
				else {
					this.cancelAction = action;
				}
			});
		}

		@Override
		public CompletableFuture<Void> respond(Message message, boolean last) {
			CompletableFuture<Void> written = new CompletableFuture<>();
			runOnEventLoop(() -> {
				if (this.cancelled) {
					written.complete(null);
					return;
				}
				if (last) {
					ChannelPeer.this.incoming.remove(this.exchangeId);
				}
				ChannelPeer.this.channel.writeAndFlush(new Frame(this.exchangeId, last, message))
					.addListener((done) -> written.complete(null));
			});
			return written;
		}

		void markCancelled() {
			this.cancelled = true;
			this.cancelAction.run();
		}

	}

}
