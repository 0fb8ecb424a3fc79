import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A small HTTP/1.1 client and the parts that a server needs too. */
final class Http {

	private Http() {
	}

	/**
	 * Sends a request on a new connection and reads the whole answer.
	 * @return the answer; status 0 if there is none in time, -1 if the connection ended
	 */
	static Answer send(String address, String method, String path, Map<String, String> headers, byte[] body,
			int timeoutMs) {
		int colon = address.lastIndexOf(':');
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))), Math.min(1_000, timeoutMs));
			socket.setSoTimeout(timeoutMs);
			write(socket, method, path, headers, body);
			return read(new BufferedInputStream(socket.getInputStream()));
		}
		catch (SocketTimeoutException ex) {
			return new Answer(0, Map.of(), new byte[0]);
		}
		catch (IOException ex) {
			return new Answer(-1, Map.of(), String.valueOf(ex.getMessage()).getBytes(StandardCharsets.UTF_8));
		}
	}

	static void write(Socket socket, String method, String path, Map<String, String> headers, byte[] body)
			throws IOException {
		StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (!headers.containsKey("Host")) {
			head.append("Host: platform\r\n");
		}
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		socket.getOutputStream().write(Rig.concat(head.toString().getBytes(StandardCharsets.ISO_8859_1), body));
		socket.getOutputStream().flush();
	}

	/** Reads a line without its end, null at the end of the stream. */
	static String line(InputStream input) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int value = input.read();
		if (value < 0) {
			return null;
		}
		while (value >= 0 && value != '\n') {
			if (value != '\r') {
				bytes.write(value);
			}
			value = input.read();
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads headers up to the empty line; their names are in lower case. */
	static Map<String, String> headers(InputStream input) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(input); line != null && !line.isEmpty(); line = line(input)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return headers;
	}

	/** Reads a body with a length or in chunks. */
	static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			for (int size = Integer.parseInt(line(input), 16); size > 0; size = Integer.parseInt(line(input), 16)) {
				all.writeBytes(input.readNBytes(size));
				line(input);
			}
			line(input);
			return all.toByteArray();
		}
		return input.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
	}

	private static Answer read(InputStream input) throws IOException {
		String status = line(input);
		if (status == null) {
			return new Answer(-1, Map.of(), "the connection was closed".getBytes(StandardCharsets.UTF_8));
		}
		Map<String, String> headers = headers(input);
		return new Answer(Integer.parseInt(status.split(" ")[1]), headers, body(input, headers));
	}

	/**
	 * An answer.
	 *
	 * @param status the status, 0 if there is none in time, -1 if the connection ended
	 * @param headers the headers, with names in lower case
	 * @param body the body
	 */
	record Answer(int status, Map<String, String> headers, byte[] body) {

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

		String shown() {
			String text = text();
			String what = switch (this.status) {
				case 0 -> "no answer in time";
				case -1 -> "connection ended";
				default -> String.valueOf(this.status);
			};
			return what + ' ' + (text.length() > 160 ? text.substring(0, 160) + "..." : text);
		}

	}

}
