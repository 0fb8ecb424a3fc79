package org.zinniatack.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A test server on the loopback interface that replies to each request with the next
 * entry of its script.
 */
public final class ScriptedTarget implements AutoCloseable {

	/** Closes the connection instead of sending a response. */
	public static final String HANG_UP = "";

	/** Appended to a response: closes the connection after it. */
	public static final String THEN_HANG_UP = "\u0000";

	/** Appended to a response: resets the connection after it. */
	public static final String THEN_RESET = "\u0003";

	/** Sends no response and keeps the connection open. */
	public static final String SILENCE = "silence";

	/** Inserted into a response: repeats the rest of it without end, at full speed. */
	public static final String ENDLESSLY = "\u0001";

	/** Like {@link #ENDLESSLY}, but with a pause after each repetition. */
	public static final String IN_TRICKLES = "\u0002";

	private static final long TRICKLE_MS = 20;

	private final ServerSocket server;

	private final AtomicInteger endlessConnections = new AtomicInteger();

	private final AtomicLong endlessBytes = new AtomicLong();

	private final List<String> script;

	private final AtomicInteger position = new AtomicInteger();

	private final AtomicInteger connections = new AtomicInteger();

	private final List<String> requests = new CopyOnWriteArrayList<>();

	/**
	 * Starts a target.
	 * @param script the responses in the order of the requests; the last one is repeated
	 * @throws IOException if no port is free
	 */
	public ScriptedTarget(String... script) throws IOException {
		this.script = List.of(script);
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread acceptThread = new Thread(this::accept, "scripted-target");
		acceptThread.setDaemon(true);
		acceptThread.start();
	}

	/**
	 * Returns a complete response.
	 * @param requestId the value of its id header
	 * @param more further header lines, each with its line end
	 * @param body the body
	 * @return the bytes as text
	 */
	public static String answer(String requestId, String more, String body) {
		return "HTTP/1.1 200 OK\r\nid: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s"
			.formatted(requestId, more, body.length(), body);
	}

	/**
	 * Returns the address.
	 * @return host and port
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Returns the number of connections accepted so far.
	 * @return the number
	 */
	public int connectionCount() {
		return this.connections.get();
	}

	/**
	 * Returns how many bytes of endless responses it has written.
	 * @return the number of bytes
	 */
	public long endlessByteCount() {
		return this.endlessBytes.get();
	}

	/**
	 * Returns a response that never ends.
	 * @param begin the start of the response
	 * @param part the part that is repeated after it
	 * @param how {@link #ENDLESSLY} or {@link #IN_TRICKLES}
	 * @return the script entry
	 */
	public static String endless(String begin, String part, String how) {
		return begin + how + part;
	}

	private void writeEndlessly(OutputStream output, String part, boolean inTrickles) throws IOException {
		String block = inTrickles ? part : part.repeat(Math.max(1, 65_536 / part.length()));
		byte[] bytes = block.getBytes(StandardCharsets.ISO_8859_1);
		while (true) {
			output.write(bytes);
			output.flush();
			this.endlessBytes.addAndGet(bytes.length);
			if (inTrickles) {
				try {
					TimeUnit.MILLISECONDS.sleep(TRICKLE_MS);
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
		}
	}

	/**
	 * Returns whether an endless response is being written.
	 * @return true until all connections with an endless response are closed
	 */
	public boolean isEndless() {
		return this.endlessConnections.get() > 0;
	}

	/**
	 * Returns the request lines and headers received so far.
	 * @return the heads in order of arrival
	 */
	public List<String> requests() {
		return List.copyOf(this.requests);
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.connections.incrementAndGet();
				Thread connectionThread = new Thread(() -> serve(socket), "scripted-connection");
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
			InputStream input = socket.getInputStream();
			StringBuilder head = new StringBuilder();
			for (int next = input.read(); next >= 0; next = input.read()) {
				head.append((char) next);
				if (head.toString().endsWith("\r\n\r\n")) {
					this.requests.add(head.toString());
					head.setLength(0);
					String reply = this.script.get(Math.min(this.position.getAndIncrement(), this.script.size() - 1));
					if (reply.equals(HANG_UP)) {
						return;
					}
					if (reply.contains(ENDLESSLY) || reply.contains(IN_TRICKLES)) {
						boolean inTrickles = reply.contains(IN_TRICKLES);
						String[] parts = reply.split(inTrickles ? IN_TRICKLES : ENDLESSLY, 2);
						socket.getOutputStream().write(parts[0].getBytes(StandardCharsets.ISO_8859_1));
						this.endlessConnections.incrementAndGet();
						try {
							writeEndlessly(socket.getOutputStream(), parts[1], inTrickles);
						}
						finally {
							this.endlessConnections.decrementAndGet();
						}
					}
					else if (!reply.equals(SILENCE)) {
						boolean reset = reply.endsWith(THEN_RESET);
						boolean last = reset || reply.endsWith(THEN_HANG_UP);
						String bytes = reply.replace(THEN_HANG_UP, "").replace(THEN_RESET, "");
						socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
						socket.getOutputStream().flush();
						if (reset) {
							socket.setSoLinger(true, 0);
						}
						if (last) {
							return;
						}
					}
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
			return;
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
