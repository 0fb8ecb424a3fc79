package org.zinniatack.gateway.http;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A test server on the loopback interface that leaves the bytes of its connections to a
 * handler: what is written, in which segments, and when.
 */
public final class WireTarget implements Closeable {

	private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)\r\n");

	private final ServerSocket server;

	private final ConnectionHandler handler;

	private final AtomicInteger connections = new AtomicInteger();

	/**
	 * Starts a target.
	 * @param handler serves each connection
	 * @throws IOException if no port is free
	 */
	public WireTarget(ConnectionHandler handler) throws IOException {
		this.handler = handler;
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread acceptThread = new Thread(this::accept, "wire-target");
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
	 * Returns the number of connections accepted so far.
	 * @return the number
	 */
	public int connectionCount() {
		return this.connections.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				this.connections.incrementAndGet();
				Thread connectionThread = new Thread(() -> serve(socket), "wire-connection");
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
			this.handler.serve(new Wire(socket));
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

	/** Serves the requests of one connection, which is closed when it returns. */
	@FunctionalInterface
	public interface ConnectionHandler {

		/**
		 * Serves a connection.
		 * @param wire the connection
		 * @throws IOException if the client has closed the connection
		 */
		void serve(Wire wire) throws IOException;

	}

	/** The target's side of a connection. */
	public static final class Wire {

		private final Socket socket;

		Wire(Socket socket) {
			this.socket = socket;
		}

		/**
		 * Reads the request line and headers of the next request.
		 * @return the bytes as text, or an empty text if the client closes the connection
		 * @throws IOException if the connection is lost
		 */
		public String readHead() throws IOException {
			InputStream input = this.socket.getInputStream();
			ByteArrayOutputStream head = new ByteArrayOutputStream();
			for (int next = input.read(); next >= 0; next = input.read()) {
				head.write(next);
				if (next == '\n' && head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
					return head.toString(StandardCharsets.ISO_8859_1);
				}
			}
			return "";
		}

		/**
		 * Reads the body of a request.
		 * @param head the request line and headers
		 * @return the body as text
		 * @throws IOException if the connection is lost
		 */
		public String readBody(String head) throws IOException {
			Matcher length = CONTENT_LENGTH.matcher(head);
			int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
			return new String(this.socket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
		}

		/**
		 * Writes bytes, as one segment if they are few.
		 * @param bytes the bytes as text
		 * @throws IOException if the connection is lost
		 */
		public void write(String bytes) throws IOException {
			this.socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
			this.socket.getOutputStream().flush();
		}

		/**
		 * Waits, so that the client reads what was written before.
		 * @param ms the duration in milliseconds
		 * @throws InterruptedIOException if the thread is interrupted
		 */
		public void pause(long ms) throws InterruptedIOException {
			try {
				TimeUnit.MILLISECONDS.sleep(ms);
			}
			catch (InterruptedException ex) {
				throw new InterruptedIOException(ex.getMessage());
			}
		}

		/**
		 * Makes the end of the connection a reset.
		 * @throws IOException if the connection is lost
		 */
		public void resetAtEnd() throws IOException {
			this.socket.setSoLinger(true, 0);
		}

	}

}
