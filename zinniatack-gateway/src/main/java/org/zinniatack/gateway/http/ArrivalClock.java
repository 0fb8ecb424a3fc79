package org.zinniatack.gateway.http;

import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Records when the first byte of each request on a connection arrived. One handler sees
 * the bytes before they are decoded, the other one the requests before they are
 * aggregated.
 */
final class ArrivalClock {

	private final LongSupplier arrivalMs;

	private long readAtMs;

	private long firstByteAtMs;

	private boolean betweenRequests = true;

	/**
	 * Creates a clock of a connection.
	 * @param arrivalMs returns the time at which bytes that are read now have arrived
	 */
	ArrivalClock(LongSupplier arrivalMs) {
		this.arrivalMs = arrivalMs;
	}

	/** Returns the time at which the first byte of the last decoded request arrived. */
	long firstByteAtMs() {
		return this.firstByteAtMs;
	}

	/** Returns whether a part of a request has arrived, but not the whole. */
	boolean isReading() {
		return !this.betweenRequests;
	}

	ChannelInboundHandler beforeDecoder() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				ArrivalClock.this.readAtMs = ArrivalClock.this.arrivalMs.getAsLong();
				if (ArrivalClock.this.betweenRequests && !isLineEnd(message)) {
					beginRequest();
				}
				context.fireChannelRead(message);
			}
		};
	}

	/** Some clients send a line end behind a body; it begins no request. */
	private static boolean isLineEnd(Object message) {
		return message instanceof ByteBuf bytes && bytes.forEachByte((value) -> value == '\r' || value == '\n') < 0;
	}

	ChannelInboundHandler afterDecoder() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				if (message instanceof HttpRequest && ArrivalClock.this.betweenRequests) {
					beginRequest();
				}
				boolean last = message instanceof LastHttpContent;
				context.fireChannelRead(message);
				ArrivalClock.this.betweenRequests |= last;
			}
		};
	}

	private void beginRequest() {
		this.firstByteAtMs = this.readAtMs;
		this.betweenRequests = false;
	}

}
