package org.zinniatack.gateway.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Decodes one response for each request. Bytes that arrive while no response is expected
 * are not decoded but passed on as {@link StrayBytes}; otherwise they would stay in the
 * buffer and become the beginning of the next response.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private @Nullable HttpMethod requestMethod;

	ResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	/**
	 * Expects a response.
	 * @param method the method of its request
	 */
	void expectResponse(HttpMethod method) {
		this.requestMethod = method;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> output) throws Exception {
		if (this.requestMethod == null) {
			output.add(new StrayBytes(buffer.readableBytes()));
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		super.decode(context, buffer, output);
		if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent) {
			this.requestMethod = null;
		}
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return HttpMethod.HEAD.equals(this.requestMethod) || super.isContentAlwaysEmpty(message);
	}

	/**
	 * Bytes that arrived while no response was expected.
	 *
	 * @param count the number of bytes
	 */
	record StrayBytes(int count) {
	}

}
