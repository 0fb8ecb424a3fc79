package org.zinniatack.gateway.call;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.zinniatack.gateway.http.WireTarget;

/**
 * A test target that sends responses twice, in part, too early or followed by other
 * bytes. It records the responses that belong to each call.
 */
final class UnkindTarget implements WireTarget.ConnectionHandler {

	private static final Pattern HEADER = Pattern.compile("\r\n(id|call): ([^\r]*)");

	private static final List<String> GARBAGE = List.of("\r\n", "\n", "\u0000\u0001", " ", "x", "HTTP/1.1 ",
			"HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "no response\r\n", "no response\r\n\r\n", "{\"status\":200}");

	private static final int SUCCESS_STATUS = 200;

	private static final int NOT_RUN_STATUS = 503;

	private static final List<Integer> STATUSES = List.of(SUCCESS_STATUS, SUCCESS_STATUS, SUCCESS_STATUS,
			SUCCESS_STATUS, SUCCESS_STATUS, SUCCESS_STATUS, 500, 500, 504, NOT_RUN_STATUS, NOT_RUN_STATUS);

	private static final int MAXIMUM_BODY_BYTES = 3_000;

	private final Map<String, Queue<Given>> givenByCall = new ConcurrentHashMap<>();

	private final Queue<String> alteredRequests = new ConcurrentLinkedQueue<>();

	private final AtomicLong connectionSeed;

	UnkindTarget(long seed) {
		this.connectionSeed = new AtomicLong(seed * 1_000_003);
	}

	Queue<Given> given(String call) {
		return this.givenByCall.getOrDefault(call, new ConcurrentLinkedQueue<>());
	}

	/** Returns the calls whose body did not arrive as it was sent. */
	Queue<String> alteredRequests() {
		return this.alteredRequests;
	}

	@Override
	public void serve(WireTarget.Wire wire) throws IOException {
		new Serving(wire, new Random(this.connectionSeed.incrementAndGet())).run();
	}

	/** Returns the body that a call sends. */
	static String requestBody(String call) {
		int bits = call.hashCode() >>> 4;
		return call.repeat((bits % 8 == 0) ? 20_000 : bits % 200);
	}

	/**
	 * A response that belongs to a call.
	 *
	 * @param text the status, seal and body
	 * @param run false if the response states that the call did not run
	 */
	record Given(String text, boolean run) {

		@Override
		public String toString() {
			return "\"%.40s\" (%s)".formatted(this.text, this.run ? "run" : "not run");
		}

	}

	/** The framing of a response's body. */
	private enum Framing {

		LENGTH, CHUNKS, END_OF_CONNECTION

	}

	/** One connection. */
	private final class Serving {

		private final WireTarget.Wire wire;

		private final Random random;

		/** Bytes that are written before the next response. */
		private String late = "";

		Serving(WireTarget.Wire wire, Random random) {
			this.wire = wire;
			this.random = random;
		}

		private boolean oneIn(int count) {
			return this.random.nextInt(count) == 0;
		}

		void run() throws IOException {
			boolean open = true;
			for (String head = this.wire.readHead(); open && !head.isEmpty(); head = open ? this.wire.readHead() : "") {
				boolean early = oneIn(4);
				if (!early) {
					readBody(head);
				}
				this.wire.write(this.late);
				this.late = "";
				open = respond(head);
				if (early) {
					readBody(head);
				}
			}
		}

		private void readBody(String head) throws IOException {
			String call = header(head, "call");
			if (!this.wire.readBody(head).equals(requestBody(call))) {
				UnkindTarget.this.alteredRequests.add(call);
			}
		}

		private static String header(String head, String name) {
			Matcher matcher = HEADER.matcher(head);
			while (matcher.find()) {
				if (matcher.group(1).equals(name)) {
					return matcher.group(2);
				}
			}
			return "";
		}

		/** Writes a response; returns whether the connection stays open. */
		private boolean respond(String head) throws IOException {
			if (oneIn(40)) {
				record(head, new Given("", true));
				return false;
			}
			Framing framing = framing();
			String response = response(head, framing);
			if (oneIn(20)) {
				return truncate(response, framing);
			}
			if (framing == Framing.END_OF_CONNECTION) {
				writeInParts(response);
				return false;
			}
			if (oneIn(3)) {
				stutter(response);
			}
			else {
				writeInParts(response);
			}
			return !oneIn(20);
		}

		private Framing framing() {
			if (oneIn(6)) {
				return Framing.END_OF_CONNECTION;
			}
			return oneIn(3) ? Framing.CHUNKS : Framing.LENGTH;
		}

		private String response(String head, Framing framing) {
			int status = STATUSES.get(this.random.nextInt(STATUSES.size()));
			boolean run = status != NOT_RUN_STATUS || oneIn(4);
			String seal = (run && !(status != SUCCESS_STATUS && oneIn(4))) ? Long.toHexString(this.random.nextLong())
					: "null";
			String body = Long.toHexString(this.random.nextLong())
				.repeat(oneIn(3) ? 0 : 1 + this.random.nextInt(MAXIMUM_BODY_BYTES / 16));
			record(head, new Given("%d %s %s".formatted(status, seal, body), run));
			boolean named = status == SUCCESS_STATUS || !oneIn(4);
			List<String> lines = new ArrayList<>(List.of("Server: t", "Keep-Alive: timeout=10"));
			if (named) {
				lines.add("id: " + header(head, "id"));
			}
			if (!seal.equals("null")) {
				lines.add("seal: " + seal);
			}
			if (!run) {
				lines.add("not-run: 1");
			}
			if (framing != Framing.END_OF_CONNECTION) {
				lines.add((framing == Framing.CHUNKS) ? "Transfer-Encoding: chunked"
						: "Content-Length: " + body.length());
			}
			Collections.shuffle(lines, this.random);
			return "HTTP/1.1 %d %s\r\n%s\r\n\r\n%s".formatted(status, (status == SUCCESS_STATUS) ? "OK" : "Not OK",
					String.join("\r\n", lines), (framing == Framing.CHUNKS) ? chunked(body) : body);
		}

		private String chunked(String body) {
			StringBuilder chunks = new StringBuilder();
			int position = 0;
			while (position < body.length()) {
				int end = Math.min(body.length(), position + 1 + this.random.nextInt(MAXIMUM_BODY_BYTES));
				chunks.append(Integer.toHexString(end - position))
					.append("\r\n")
					.append(body, position, end)
					.append("\r\n");
				position = end;
			}
			return chunks.append("0\r\n\r\n").toString();
		}

		private void record(String head, Given given) {
			UnkindTarget.this.givenByCall
				.computeIfAbsent(header(head, "call"), (absent) -> new ConcurrentLinkedQueue<>())
				.add(given);
		}

		/** Writes a part of a response and resets, closes or keeps the connection. */
		private boolean truncate(String response, Framing framing) throws IOException {
			this.wire.write(response.substring(0, this.random.nextInt(response.length())));
			if (framing == Framing.END_OF_CONNECTION || oneIn(3)) {
				this.wire.pause(1);
				this.wire.resetAtEnd();
				return false;
			}
			return oneIn(2);
		}

		private void stutter(String response) throws IOException {
			String copy = oneIn(3) ? GARBAGE.get(this.random.nextInt(GARBAGE.size()))
					: response.substring(0, oneIn(3) ? response.length() : this.random.nextInt(response.length()));
			switch (this.random.nextInt(3)) {
				case 0 -> writeInParts(response + copy);
				case 1 -> {
					writeInParts(response);
					this.wire.pause(this.random.nextInt(4));
					writeInParts(copy);
				}
				default -> {
					writeInParts(response);
					this.late = copy;
				}
			}
		}

		private void writeInParts(String bytes) throws IOException {
			int position = 0;
			while (position < bytes.length()) {
				int end = oneIn(2) ? bytes.length() : position + 1 + this.random.nextInt(bytes.length() - position);
				this.wire.write(bytes.substring(position, end));
				position = end;
				if (position < bytes.length()) {
					this.wire.pause(this.random.nextInt(2));
				}
			}
		}

	}

}
