package org.zinniatack.wire;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.MessageToMessageCodec;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes frames as MessagePack and decodes them.
 */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {

	private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private static final ObjectWriter WRITER = MAPPER.writerFor(Frame.class);

	private static final ObjectReader READER = MAPPER.readerFor(Frame.class);

	static byte[] encode(Frame frame) throws IOException {
		return WRITER.writeValueAsBytes(frame);
	}

	static Frame decode(byte[] bytes) throws IOException {
		return READER.readValue(bytes);
	}

	@Override
	protected void encode(ChannelHandlerContext context, Frame frame, List<Object> out) throws IOException {
		out.add(context.alloc().buffer().writeBytes(encode(frame)));
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) {
		try {
			Frame frame = decode(ByteBufUtil.getBytes(buffer));
			if (frame == null || frame.message() == null) {
				throw new CorruptedFrameException("the frame has no message");
			}
			out.add(frame);
		}
		catch (IOException ex) {
			throw new CorruptedFrameException("the frame is not valid MessagePack or its message type is unknown", ex);
		}
	}

}
