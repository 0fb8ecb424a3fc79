package org.zinniatack.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.zinniatack.core.table.CallerLimits;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of the age of a request that {@link HttpListener} determines.
 */
class RequestAgeTests {

	private static final long PAUSE_MS = 400;

	private static final long ACCEPT_MS = 200;

	private static final String REQUEST = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final BlockingQueue<Long> agesMs = new LinkedBlockingQueue<>();

	private final HttpListener listener = new HttpListener(this.group,
			() -> new CallerLimits(16_384, 1_000_000, 10_000, 10_000), this::handle);

	@AfterEach
	void stop() {
		this.listener.close();
		this.group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	private void handle(Exchange exchange) {
		this.agesMs.add(exchange.maximumAgeMs());
		exchange.respondJson(200, "{}");
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
	}

	private long nextAgeMs() throws InterruptedException {
		Long ageMs = this.agesMs.poll(10, TimeUnit.SECONDS);
		return (ageMs != null) ? ageMs : -1;
	}

	// Guards against taking a request that waited for a process to load for one that was
	// just sent.
	@Test
	void aRequestOnASocketThatListenedBeforeIsAsOldAsTheSocket() throws Exception {
		try (ServerSocketChannel early = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0))) {
			int port = early.socket().getLocalPort();
			try (Socket socket = new Socket("127.0.0.1", port)) {
				send(socket, REQUEST);
				this.listener.open(early, () -> 50_000);
				assertThat(nextAgeMs(), is(greaterThanOrEqualTo(50_000L)));
			}
		}
	}

	// Guards against taking a request whose bytes came late for one that was just sent.
	@Test
	void aRequestIsAsOldAsItsConnectionOrTheRequestBefore() throws Exception {
		int port = this.listener.open("127.0.0.1:0");
		try (Socket socket = new Socket("127.0.0.1", port)) {
			TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
			send(socket, REQUEST.substring(0, 20));
			TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
			send(socket, REQUEST.substring(20));
			long firstMs = nextAgeMs();
			assertThat("counted from when the connection was accepted, soon after it was opened", firstMs,
					is(greaterThanOrEqualTo(2 * PAUSE_MS - ACCEPT_MS)));
			TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
			send(socket, REQUEST + REQUEST);
			long secondMs = nextAgeMs();
			assertThat(secondMs, is(both(greaterThanOrEqualTo(PAUSE_MS - 1)).and(lessThan(firstMs + PAUSE_MS))));
			assertThat("a pipelined request may have been sent before the one that precedes it was read", nextAgeMs(),
					is(greaterThanOrEqualTo(secondMs)));
		}
	}

}
