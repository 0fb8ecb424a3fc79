import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 codec for the stand-ins. */
final class Http {

	private Http() {
	}

	/** A message: the first line, the headers with case-insensitive names, and the body. */
	record Message(String firstLine, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String method() {
			return this.firstLine.split(" ")[0];
		}

		String uri() {
			return this.firstLine.split(" ")[1];
		}

		String path() {
			return uri().split("\\?")[0];
		}

		int status() {
			return Integer.parseInt(this.firstLine.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	/** Sends a request on a new connection and reads the complete response. */
	static Message call(String address, String method, String uri, Map<String, String> headers, byte[] body,
			int timeoutMs) throws IOException {
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))), Math.min(timeoutMs, 1_000));
			socket.setSoTimeout(timeoutMs);
			StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\n");
			if (!headers.containsKey("Host")) {
				head.append("Host: ").append(address).append("\r\n");
			}
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Connection: close\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
			OutputStream out = socket.getOutputStream();
			out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			out.flush();
			Message response = read(new BufferedInputStream(socket.getInputStream()));
			if (response == null) {
				throw new EOFException("the connection closed without a response");
			}
			return response;
		}
	}

	/** Reads a message, or returns null if the stream ends before it begins. */
	static Message read(InputStream in) throws IOException {
		String firstLine = readLine(in);
		if (firstLine == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
			while (true) {
				String size = readLine(in);
				if (size == null) {
					throw new EOFException("the message ends before its last chunk");
				}
				int length = Integer.parseInt(size.trim().split(";")[0], 16);
				body.write(readExactly(in, length));
				readLine(in);
				if (length == 0) {
					break;
				}
			}
		}
		else {
			body.write(readExactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0"))));
		}
		return new Message(firstLine, headers, body.toByteArray());
	}

	private static byte[] readExactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("the message ends before its body is complete");
		}
		return bytes;
	}

	private static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int value = in.read(); value != '\n'; value = in.read()) {
			if (value < 0) {
				return null;
			}
			if (value != '\r') {
				line.write(value);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

}
