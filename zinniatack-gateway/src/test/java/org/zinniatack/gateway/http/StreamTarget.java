package org.zinniatack.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A test server on the loopback interface that generates a stream of numbered events, or
 * continues it after the event that a request names. The response to the next request can
 * be cut at any byte.
 */
public final class StreamTarget implements AutoCloseable {

	/** The number of events of a whole stream. */
	public static final int EVENT_COUNT = 4;

	/** The event that also states a weight version. */
	private static final int VERSION_EVENT = 3;

	private static final int UNCUT = -1;

	private static final long RESET_DELAY_MS = 2;

	private final ServerSocket server;

	private final Framing framing;

	private final List<Integer> resumedAfter = new ArrayList<>();

	private int cutBytes = UNCUT;

	private boolean resetAtCut;

	/**
	 * Starts a target.
	 * @param framing how the end of a response is marked
	 * @throws IOException if no port is free
	 */
	public StreamTarget(Framing framing) throws IOException {
		this.framing = framing;
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread acceptThread = new Thread(this::accept, "stream-target");
		acceptThread.setDaemon(true);
		acceptThread.start();
	}

	/**
	 * Returns the address.
	 * @return host and port
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Cuts the response to the next request, and only that.
	 * @param bytes the number of bytes that are sent of it
	 * @param reset true to reset the connection, false to close it
	 */
	public synchronized void cutNext(int bytes, boolean reset) {
		this.resumedAfter.clear();
		this.cutBytes = bytes;
		this.resetAtCut = reset;
	}

	/**
	 * Returns the requests since the last cut was ordered.
	 * @return for each request the event after which it resumes, 0 for the start
	 */
	public synchronized List<Integer> resumedAfter() {
		return List.copyOf(this.resumedAfter);
	}

	/**
	 * Returns the events of a whole stream.
	 * @param first the id of the first event
	 * @param last the id of the last event
	 * @return the events as text
	 */
	public static String events(int first, int last) {
		return IntStream.rangeClosed(first, last).mapToObj(StreamTarget::event).collect(Collectors.joining());
	}

	private static String event(int id) {
		return "%sid: %d\ndata: e%d\n\n".formatted((id == VERSION_EVENT) ? "version: 1\n" : "", id, id);
	}

	/**
	 * Returns a whole response.
	 * @param after the id of the event after which it continues, 0 for the start
	 * @return the bytes as text
	 */
	public String response(int after) {
		return head() + switch (this.framing) {
			case LENGTH -> "Content-Length: %d\r\n\r\n%s".formatted(events(after + 1, EVENT_COUNT).length(),
					events(after + 1, EVENT_COUNT));
			case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + IntStream.rangeClosed(after + 1, EVENT_COUNT)
				.mapToObj((id) -> "%x\r\n%s\r\n".formatted(event(id).length(), event(id)))
				.collect(Collectors.joining()) + "0\r\n\r\n";
			case NONE -> "\r\n" + events(after + 1, EVENT_COUNT);
		};
	}

	private static String head() {
		return "HTTP/1.1 200 OK\r\nid: r\r\nseal: s\r\nversion: 1\r\nConnection: close\r\n";
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				Thread connectionThread = new Thread(() -> serve(socket), "stream-connection");
				connectionThread.setDaemon(true);
				connectionThread.start();
			}
		}
		catch (IOException ex) {
			// The server was closed.
			return;
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream input = socket.getInputStream();
			StringBuilder head = new StringBuilder();
			for (int next = input.read(); next >= 0; next = input.read()) {
				head.append((char) next);
				if (next == '\n' && head.toString().endsWith("\r\n\r\n")) {
					respond(socket, afterOf(head.toString()));
					return;
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
			return;
		}
	}

	private static int afterOf(String head) {
		return head.lines()
			.filter((line) -> line.startsWith("after: "))
			.mapToInt((line) -> Integer.parseInt(line.substring("after: ".length())))
			.findFirst()
			.orElse(0);
	}

	private void respond(Socket socket, int after) throws IOException {
		int cut = takeCut(after);
		String response = response(after);
		boolean reset = cut != UNCUT && isResetAtCut();
		socket.getOutputStream()
			.write(response.substring(0, (cut != UNCUT) ? cut : response.length()).getBytes(StandardCharsets.US_ASCII));
		if (reset) {
			pause();
			socket.setSoLinger(true, 0);
		}
	}

	/** Gives the client time to read, because a reset may overtake what was sent. */
	private static void pause() throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private synchronized int takeCut(int after) {
		this.resumedAfter.add(after);
		int cut = this.cutBytes;
		this.cutBytes = UNCUT;
		return cut;
	}

	private synchronized boolean isResetAtCut() {
		return this.resetAtCut;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/** How the end of a response is marked. */
	public enum Framing {

		/** By a length in the head. */
		LENGTH,

		/** By a last chunk. */
		CHUNKED,

		/** By the end of the connection. */
		NONE

	}

}
