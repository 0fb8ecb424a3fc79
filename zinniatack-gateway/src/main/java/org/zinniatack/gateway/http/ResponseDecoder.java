package org.zinniatack.gateway.http;

import java.util.List;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * Decodes one response for each request. Bytes that arrive while no response is expected
 * are not decoded but passed on as {@link StrayBytes}; otherwise they would stay in the
 * buffer and become the beginning of the next response.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

	private static final String SECOND_COPY = "a second copy of the response in its body";

	private @Nullable HttpMethod requestMethod;

	private SecondResponseScan bodyScan = new SecondResponseScan();

	/** Null if the body has a length or chunks. */
	private @Nullable HeadCopyScan copyScan;

	private boolean lengthGiven;

	ResponseDecoder(HttpDecoderConfig config) {
		super(config);
	}

	/**
	 * Expects a response.
	 * @param method the method of its request
	 */
	void expectResponse(HttpMethod method) {
		this.requestMethod = method;
		this.bodyScan = new SecondResponseScan();
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> output) throws Exception {
		if (this.requestMethod == null) {
			output.add(new StrayBytes(buffer.readableBytes()));
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		super.decode(context, buffer, output);
		output.forEach((object) -> check(object, buffer));
		if (!output.isEmpty() && output.get(output.size() - 1) instanceof LastHttpContent) {
			this.requestMethod = null;
		}
	}

	/** Ends a body that only the end of the connection marks. */
	@Override
	protected void decodeLast(ChannelHandlerContext context, ByteBuf buffer, List<Object> output) throws Exception {
		super.decodeLast(context, buffer, output);
		int last = output.size() - 1;
		if (this.copyScan != null && this.copyScan.endsInCopy() && last >= 0
				&& output.get(last) instanceof LastHttpContent) {
			LastHttpContent cut = new DefaultLastHttpContent();
			fail(cut, SECOND_COPY);
			output.set(last, cut);
		}
	}

	private void check(Object object, ByteBuf following) {
		if (object instanceof HttpResponse response) {
			this.lengthGiven = HttpUtil.isContentLengthSet(response);
			boolean framed = this.lengthGiven || HttpUtil.isTransferEncodingChunked(response);
			this.copyScan = framed ? null : new HeadCopyScan(response);
			if (holdsSecondStatusLine(response)) {
				fail(response, "two status lines in one head");
			}
		}
		if (this.lengthGiven && object instanceof HttpContent content) {
			this.bodyScan.read(content.content());
		}
		if (this.copyScan != null && object instanceof HttpContent content && this.copyScan.read(content.content())) {
			fail(content, SECOND_COPY);
		}
		// Bytes that go on with the copy show that its beginning filled up the body.
		if (object instanceof LastHttpContent last && this.bodyScan.mayHoldBeginning() && following.isReadable()
				&& !SecondResponseScan.mayFollow(following)) {
			fail(last, "a second response in the body of the first");
		}
	}

	private static void fail(HttpObject object, String reason) {
		object.setDecoderResult(DecoderResult.failure(new CorruptedFrameException(reason)));
	}

	/**
	 * Returns whether a head that was cut is joined to the head of another response. Its
	 * last line then ends with the status line of the other one.
	 */
	private static boolean holdsSecondStatusLine(HttpResponse response) {
		return STATUS_LINE.matcher(response.status().reasonPhrase()).find() || response.headers()
			.entries()
			.stream()
			.anyMatch((header) -> STATUS_LINE.matcher(header.getValue()).find());
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
