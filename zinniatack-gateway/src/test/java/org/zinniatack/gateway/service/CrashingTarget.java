package org.zinniatack.gateway.service;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.zinniatack.core.directory.TargetNotice;
import org.zinniatack.gateway.http.ScriptedTarget;

/**
 * A target that ends when it begins to run a request whose path names one of several
 * kinds of end, and that starts again at its address, under a new id, some time later. A
 * request whose path names a reset loses its connection, while the target goes on.
 */
final class CrashingTarget implements AutoCloseable {

	static final String CRASH_PATH = "/crash";

	static final String RESET_PATH = "/reset";

	/** The target ends within its answer. */
	static final String CUT_ANSWER_PATH = "/cut-answer";

	/** The target ends within a stream of events. */
	static final String CUT_STREAM_PATH = "/cut-stream";

	/** The target falls silent, with its connections open until it starts again. */
	static final String SILENCE_PATH = "/silence";

	/** The target ends under the requests that carry {@link #CRASH_HEADER}. */
	static final String CHOSEN_PATH = "/chosen";

	static final String CRASH_HEADER = "crash";

	/** The target fails the requests that carry this header. */
	static final String FAIL_HEADER = "fail";

	/** Longer than the callers of {@link #SILENCE_PATH} wait. */
	private static final long SILENCE_MS = 1_000;

	private static final Pattern ID = Pattern.compile("\r\nid: (\\S+)\r\n");

	/** Keeps requests running for a while, so that a crash takes some along. */
	private static final long RUN_MS = 20;

	private final Consumer<TargetNotice> announcements;

	private final long restartMs;

	private final String name;

	private final AtomicInteger starts = new AtomicInteger();

	private final Queue<String> crashes = new ConcurrentLinkedQueue<>();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private volatile ServerSocket server;

	private volatile boolean closed;

	private volatile boolean silent;

	private long bornMs;

	private long sequence;

	CrashingTarget(String name, long restartMs, Consumer<TargetNotice> announcements) throws IOException {
		this.name = name;
		this.restartMs = restartMs;
		this.announcements = announcements;
		this.server = open(0);
		startAs(this.server);
	}

	private static ServerSocket open(int port) throws IOException {
		ServerSocket opened = new ServerSocket();
		opened.setReuseAddress(true);
		opened.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
		return opened;
	}

	private void startAs(ServerSocket opened) {
		this.starts.incrementAndGet();
		this.bornMs = System.currentTimeMillis();
		run(() -> accept(opened));
		announce();
	}

	private static void run(Runnable task) {
		Thread thread = new Thread(task, "crashing-target");
		thread.setDaemon(true);
		thread.start();
	}

	/** Announces that the target is ready, unless it has crashed. */
	synchronized void announce() {
		if (!this.server.isClosed() && !this.silent) {
			this.announcements.accept(new TargetNotice(this.name + "-" + this.starts.get(), this.bornMs,
					++this.sequence, "p", address(), "a", TargetNotice.State.READY, 4, Map.of()));
		}
	}

	String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/** Returns the ids of the requests that crashed the target. */
	Queue<String> crashes() {
		return this.crashes;
	}

	private void accept(ServerSocket opened) {
		try {
			while (true) {
				Socket socket = opened.accept();
				this.sockets.add(socket);
				run(() -> serve(socket));
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
					answer(socket, head.toString());
					head.setLength(0);
				}
			}
		}
		catch (IOException ex) {
			// The connection was closed.
			return;
		}
		finally {
			this.sockets.remove(socket);
		}
	}

	private void answer(Socket socket, String head) throws IOException {
		Matcher id = ID.matcher(head);
		String requestId = id.find() ? id.group(1) : "";
		if (this.silent) {
			return;
		}
		if (head.contains(FAIL_HEADER + ": ")) {
			write(socket, ScriptedTarget.answer(requestId, "", "").replace("200 OK", "500 Failed"));
			return;
		}
		if (head.contains(CRASH_PATH) || (head.contains(CHOSEN_PATH) && head.contains(CRASH_HEADER + ": "))) {
			crash(requestId);
			return;
		}
		if (head.contains(CUT_ANSWER_PATH)) {
			write(socket, ScriptedTarget.answer(requestId, "", "only half").replace("Length: 9", "Length: 18"));
			sleep(RUN_MS);
			crash(requestId);
			return;
		}
		if (head.contains(CUT_STREAM_PATH)) {
			write(socket,
					ScriptedTarget
						.answer(requestId, "seal: s\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: 1\n\n")
						.replace("Length: 15", "Length: 100"));
			sleep(RUN_MS);
			crash(requestId);
			return;
		}
		if (head.contains(SILENCE_PATH)) {
			fallSilent(requestId);
			return;
		}
		if (head.contains(RESET_PATH)) {
			socket.setSoLinger(true, 0);
			socket.close();
			return;
		}
		sleep(RUN_MS);
		write(socket, ScriptedTarget.answer(requestId, "", "fine"));
	}

	private static void write(Socket socket, String response) throws IOException {
		socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
	}

	private void fallSilent(String requestId) {
		synchronized (this) {
			if (this.silent) {
				return;
			}
			this.silent = true;
			this.crashes.add(requestId);
		}
		run(() -> {
			sleep(SILENCE_MS);
			try {
				close(this.server);
				this.silent = false;
				startAgain(this.server.getLocalPort());
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private void crash(String requestId) throws IOException {
		synchronized (this) {
			if (this.server.isClosed()) {
				return;
			}
			this.crashes.add(requestId);
			this.server.close();
		}
		close(this.server);
		int port = this.server.getLocalPort();
		run(() -> startAgain(port));
	}

	private void close(ServerSocket opened) throws IOException {
		opened.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void startAgain(int port) {
		sleep(this.restartMs);
		synchronized (this) {
			if (this.closed) {
				return;
			}
			try {
				this.server = open(port);
				startAs(this.server);
			}
			catch (IOException ex) {
				throw new IllegalStateException("port " + port + " was taken while the target was down", ex);
			}
		}
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public synchronized void close() throws IOException {
		this.closed = true;
		this.server.close();
	}

}
