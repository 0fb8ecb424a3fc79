package org.zinniatack.wire;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.util.ReferenceCountUtil;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import org.zinniatack.core.consensus.Snapshot;

/**
 * Encodes frames as MessagePack and decodes them. Large ones are left to another
 * executor, so that other connections of the event loop do not wait for them. The frames
 * of a connection keep their order, and nothing more is read from it meanwhile.
 */
final class FrameCodec extends ChannelDuplexHandler {

	/**
	 * The size from which a frame is decoded elsewhere, in bytes. No message between
	 * replicas reaches it, so that none waits behind jobs and tables.
	 */
	static final int LARGE_FRAME_BYTES = 2 * Snapshot.PART_BYTES;

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private static final ObjectWriter WRITER = MAPPER.writerFor(Frame.class);

	private static final ObjectReader READER = MAPPER.readerFor(Frame.class);

	private final Executor largeFrames;

	/** Received frames behind one that is being decoded. */
	private final Deque<byte[]> received = new ArrayDeque<>();

	/** Frames to send behind one that is being encoded. */
	private final Deque<PendingFrame> unsent = new ArrayDeque<>();

	private boolean decoding;

	private boolean encoding;

	/** Creates a codec that works on the event loop only. */
	FrameCodec() {
		this(Runnable::run);
	}

	/**
	 * Creates a codec.
	 * @param largeFrames decodes and encodes large frames
	 */
	FrameCodec(Executor largeFrames) {
		this.largeFrames = largeFrames;
	}

	static byte[] encode(Frame frame) throws IOException {
		return WRITER.writeValueAsBytes(frame);
	}

	static Frame decode(byte[] bytes) throws IOException {
		return READER.readValue(bytes);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object buffer) {
		try {
			this.received.add(ByteBufUtil.getBytes((ByteBuf) buffer));
		}
		finally {
			ReferenceCountUtil.release(buffer);
		}
		decodeNext(context);
	}

	private void decodeNext(ChannelHandlerContext context) {
		while (!this.decoding && !this.received.isEmpty()) {
			byte[] bytes = this.received.remove();
			if (bytes.length < LARGE_FRAME_BYTES) {
				Decoded.of(bytes).fire(context);
			}
			else {
				this.decoding = true;
				context.channel().config().setAutoRead(false);
				executeOn(this.largeFrames, () -> {
					Decoded decoded = Decoded.of(bytes);
					executeOn(context.executor(), () -> endDecoding(context, decoded), () -> context.close());
				}, () -> context.close());
			}
		}
	}

	private void endDecoding(ChannelHandlerContext context, Decoded decoded) {
		this.decoding = false;
		if (context.isRemoved()) {
			return;
		}
		decoded.fire(context);
		decodeNext(context);
		context.fireChannelReadComplete();
		if (!this.decoding) {
			context.channel().config().setAutoRead(true);
		}
	}

	/** Drops what the lost connection has left, since its handlers are removed next. */
	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.received.clear();
		this.unsent.forEach((frame) -> frame.promise().tryFailure(new ClosedChannelException()));
		this.unsent.clear();
		context.fireChannelInactive();
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (message instanceof Frame frame && frame.message() instanceof Message.Heartbeat) {
			// It carries nothing but that the process lives, which a large frame must not
			// hide.
			Encoded.of(frame).write(context, promise);
			return;
		}
		this.unsent.add(new PendingFrame(message, promise));
		encodeNext(context);
	}

	private void encodeNext(ChannelHandlerContext context) {
		while (!this.encoding && !this.unsent.isEmpty()) {
			PendingFrame next = this.unsent.remove();
			if (next.content() instanceof EncodedNotification notification) {
				new Encoded(notification.frame()).write(context, next.promise());
			}
			else if (!next.frame().message().mayBeLarge()) {
				Encoded.of(next.frame()).write(context, next.promise());
			}
			else {
				this.encoding = true;
				Runnable fail = () -> next.promise().tryFailure(new ClosedChannelException());
				executeOn(this.largeFrames, () -> {
					Encoded encoded = Encoded.of(next.frame());
					executeOn(context.executor(), () -> endEncoding(context, encoded, next.promise()), fail);
				}, fail);
			}
		}
	}

	private void endEncoding(ChannelHandlerContext context, Encoded encoded, ChannelPromise promise) {
		this.encoding = false;
		if (context.isRemoved()) {
			promise.tryFailure(new ClosedChannelException());
			return;
		}
		encoded.write(context, promise);
		encodeNext(context);
		context.flush();
	}

	/** Executes a task, or another if the network has stopped. */
	private static void executeOn(Executor executor, Runnable task, Runnable onStopped) {
		try {
			executor.execute(task);
		}
		catch (RejectedExecutionException ex) {
			onStopped.run();
		}
	}

	/** A frame or an encoded notification to send. */
	private record PendingFrame(Object content, ChannelPromise promise) {

		Frame frame() {
			return (Frame) this.content;
		}

	}

	/** A decoded frame or the failure to decode it. */
	private record Decoded(Object frameOrFailure) {

		static Decoded of(byte[] bytes) {
			try {
				Frame frame = decode(bytes);
				return new Decoded((frame == null || frame.message() == null)
						? new CorruptedFrameException("the frame has no message") : frame);
			}
			catch (IOException ex) {
				return new Decoded(new CorruptedFrameException(
						"the frame is not valid MessagePack or its message type is unknown", ex));
			}
			catch (RuntimeException | Error ex) {
				return new Decoded(new DecoderException(ex));
			}
		}

		void fire(ChannelHandlerContext context) {
			if (this.frameOrFailure instanceof Throwable failure) {
				context.fireExceptionCaught(failure);
			}
			else {
				context.fireChannelRead(this.frameOrFailure);
			}
		}

	}

	/** An encoded frame or the failure to encode it. */
	private record Encoded(Object bytesOrFailure) {

		static Encoded of(Frame frame) {
			try {
				return new Encoded(encode(frame));
			}
			catch (IOException | RuntimeException | Error ex) {
				return new Encoded(ex);
			}
		}

		void write(ChannelHandlerContext context, ChannelPromise promise) {
			if (this.bytesOrFailure instanceof Throwable failure) {
				promise.tryFailure(failure);
			}
			else {
				context.write(Unpooled.wrappedBuffer((byte[]) this.bytesOrFailure), promise);
			}
		}

	}

}
