package org.zinniatack.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.entry.SimulatedSystem.Defect;
import org.zinniatack.wire.ExchangeListener;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerIdentity;

/**
 * Simulates a target and its agent. The body of a request is "prompt tokens offset". An
 * engine answers with one event per token from the offset on, a service with one message.
 */
final class SimulatedTarget {

	private static final int SLOTS = 4;

	private static final long SERVICE_MS = 40;

	private static final long CANCEL_DELAY_MS = 5;

	private final SimulatedSystem system;

	private final String id;

	private final Map<SimulatedEntry, Connection> connections = new LinkedHashMap<>();

	private final Set<Exchange> running = new LinkedHashSet<>();

	private boolean reachable = true;

	private boolean healthy = true;

	private boolean leaving;

	private boolean truncatesNextAnswer;

	private long weightVersion = 1;

	private long tokenIntervalMs = 10;

	private long loadDelayMs = 5;

	private int crashCount;

	SimulatedTarget(SimulatedSystem system, String id) {
		this.system = system;
		this.id = id;
		system.time().every(100, () -> {
			this.connections.values().forEach(this::sendLoad);
			return true;
		});
	}

	Set<Exchange> running() {
		return this.running;
	}

	void connect(SimulatedEntry entry) {
		if (!this.reachable || !entry.isAlive()) {
			return;
		}
		Connection connection = new Connection(entry);
		this.connections.put(entry, connection);
		connection.toEntry(5, () -> entry.dispatcher()
			.onAnnounce(connection, new Message.Announce(this.id, "1", "draft", this.id, SLOTS)));
		sendLoad(connection);
	}

	private void sendLoad(Connection connection) {
		Message.Load load = new Message.Load(this.running.size(), this.weightVersion, this.leaving, this.healthy,
				this.crashCount, 0);
		this.system.time()
			.after(this.loadDelayMs,
					() -> connection.toEntry(1, () -> connection.entry.dispatcher().onLoad(connection, load)));
	}

	void disconnect(SimulatedEntry entry) {
		Connection connection = this.connections.remove(entry);
		if (connection != null) {
			connection.cut();
		}
	}

	void becomeUnreachable() {
		this.reachable = false;
		List.copyOf(this.connections.keySet()).forEach(this::disconnect);
		this.running.clear();
	}

	void becomeReachable() {
		this.reachable = true;
		this.leaving = false;
	}

	void crash() {
		this.healthy = false;
		this.crashCount++;
		List<Exchange> interruptedRuns = List.copyOf(this.running);
		this.running.clear();
		Message.TargetCrash crash = new Message.TargetCrash(this.id + "/" + this.crashCount,
				interruptedRuns.stream().map((interrupted) -> interrupted.run.requestDigest()).toList());
		boolean reported = !this.system.hasDefect(Defect.CRASH_NOT_REPORTED);
		ResultCode code = reported ? ResultCode.TARGET_CRASHED : ResultCode.OUTCOME_UNKNOWN;
		this.connections.values()
			.stream()
			.filter((connection) -> reported)
			.forEach((connection) -> connection.toEntry(1, () -> connection.entry.reportCrash(crash)));
		this.connections.values().forEach(this::sendLoad);
		interruptedRuns.forEach((interrupted) -> interrupted.answer(new Message.Failure(code, "lost", 0), true));
	}

	void restart() {
		this.healthy = true;
	}

	void setLeaving(boolean newLeaving) {
		this.leaving = newLeaving;
		this.connections.values().forEach(this::sendLoad);
	}

	void truncateNextAnswer() {
		this.truncatesNextAnswer = true;
	}

	void loadWeights(long version) {
		this.weightVersion = Math.max(version, this.weightVersion);
	}

	void setTokenInterval(long newIntervalMs) {
		this.tokenIntervalMs = newIntervalMs;
	}

	void setLoadDelay(long newDelayMs) {
		this.loadDelayMs = newDelayMs;
	}

	private void receive(Exchange exchange) {
		if (exchange.cancelled || !exchange.connection.open) {
			return;
		}
		boolean alone = this.running.stream().anyMatch((other) -> other.run.alone());
		boolean full = this.running.size() >= SLOTS || alone || (exchange.run.alone() && !this.running.isEmpty());
		if (this.leaving || full || !this.healthy) {
			ResultCode code = this.leaving ? ResultCode.TARGET_LEAVING : ResultCode.TARGET_BUSY;
			exchange.answer(new Message.Failure(code, "refused", 10), true);
			return;
		}
		this.running.add(exchange);
		this.system.recordStart(exchange.run);
		exchange.answer(new Message.AnswerHead(200, "application/json"), false);
		if (exchange.run.engine()) {
			nextToken(exchange,
					this.system.hasDefect(Defect.RESUME_OFFSET_IGNORED) ? 0 : Integer.parseInt(exchange.bodyParts[2]));
		}
		else {
			this.system.time().after(SERVICE_MS, () -> answerService(exchange));
		}
	}

	private void answerService(Exchange exchange) {
		if (this.running.remove(exchange)) {
			byte[] body = ("done " + exchange.bodyParts[0]).getBytes(StandardCharsets.UTF_8);
			exchange.answer(new Message.AnswerChunk(body), false);
			exchange.answer(new Message.AnswerEnd("", List.of()), true);
		}
	}

	private void nextToken(Exchange exchange, int position) {
		this.system.time().after(this.tokenIntervalMs, () -> {
			if (!this.running.contains(exchange)) {
				return;
			}
			if (exchange.bodyParts[0].startsWith("poison") && position == 2) {
				this.system.recordPoisonCrash(exchange.bodyParts[0]);
				crash();
				this.system.time().after(800, this::restart);
				return;
			}
			int total = Integer.parseInt(exchange.bodyParts[1]);
			boolean truncated = this.truncatesNextAnswer && position > 2;
			if (position < total && !truncated) {
				exchange.answer(token(promptFor(exchange), position, total), false);
				nextToken(exchange, position + 1);
				return;
			}
			this.truncatesNextAnswer = this.truncatesNextAnswer && !truncated;
			this.running.remove(exchange);
			exchange.answer(new Message.AnswerEnd("", List.of()), true);
		});
	}

	private String promptFor(Exchange exchange) {
		Exchange source = this.system.hasDefect(Defect.TEXT_OF_OTHER_REQUEST) ? this.running.iterator().next()
				: exchange;
		return source.bodyParts[0];
	}

	private Message.AnswerChunk token(String prompt, int position, int total) {
		String reason = (position == total - 1) ? "\"stop\"" : "null";
		String event = "{\"choices\":[{\"text\":\"" + prompt + "." + position + "@" + this.weightVersion
				+ " \",\"finish_reason\":" + reason + "}],\"weight_version\":" + this.weightVersion + "}";
		return new Message.AnswerChunk(event.getBytes(StandardCharsets.UTF_8));
	}

	/** One attempt that runs on this target. */
	final class Exchange {

		private final Message.Run run;

		private final String[] bodyParts;

		private final Connection connection;

		private final ExchangeListener listener;

		private boolean cancelled;

		Exchange(Message.Run run, Connection connection, ExchangeListener listener) {
			this.run = run;
			this.bodyParts = new String(run.body(), StandardCharsets.UTF_8).split(" ");
			this.connection = connection;
			this.listener = listener;
		}

		Message.Run run() {
			return this.run;
		}

		void answer(Message message, boolean last) {
			int copies = (last && SimulatedTarget.this.system.duplicatesFinalMessages()) ? 2 : 1;
			for (int copy = 0; copy < copies; copy++) {
				this.connection.toEntry(2, () -> deliver(message, last));
			}
		}

		private void deliver(Message message, boolean last) {
			if (!this.cancelled || SimulatedTarget.this.system.deliversLateMessages()) {
				if (last) {
					this.connection.exchanges.remove(this);
				}
				this.listener.onMessage(message, last);
			}
		}

		private void cancel() {
			this.cancelled = true;
			this.connection.exchanges.remove(this);
			SimulatedTarget.this.system.time().after(CANCEL_DELAY_MS, () -> SimulatedTarget.this.running.remove(this));
		}

	}

	/** The connection of one entry to this target. Messages arrive in the order sent. */
	private final class Connection implements Peer {

		private final SimulatedEntry entry;

		private final Set<Exchange> exchanges = new LinkedHashSet<>();

		private boolean open = true;

		private long lastAtMs;

		Connection(SimulatedEntry entry) {
			this.entry = entry;
		}

		void toEntry(long delayMs, Runnable task) {
			VirtualTime time = SimulatedTarget.this.system.time();
			this.lastAtMs = Math.max(this.lastAtMs, time.nowMs() + delayMs);
			time.after(this.lastAtMs - time.nowMs(), () -> {
				boolean delivered = this.open || SimulatedTarget.this.system.deliversLateMessages();
				if (delivered && this.entry.isAlive()) {
					task.run();
				}
			});
		}

		void cut() {
			this.open = false;
			SimulatedTarget.this.system.time().after(CANCEL_DELAY_MS, () -> {
				SimulatedTarget.this.running.removeIf((exchange) -> exchange.connection == this);
				if (this.entry.isAlive()) {
					List<Exchange> lost = new ArrayList<>(this.exchanges);
					this.exchanges.clear();
					this.entry.dispatcher().onPeerLost(this);
					lost.forEach((exchange) -> exchange.listener.onLost(ResultCode.PEER_LOST));
				}
			});
		}

		@Override
		public CompletableFuture<Message> call(Message request, long timeoutMs) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void close() {
			cut();
		}

		@Override
		public PeerIdentity identity() {
			return new PeerIdentity("agent", SimulatedTarget.this.id);
		}

		@Override
		public boolean isOpen() {
			return this.open;
		}

		@Override
		public Runnable openExchange(Message request, ExchangeListener listener) {
			Exchange exchange = new Exchange((Message.Run) request, this, listener);
			if (!this.open) {
				listener.onLost(ResultCode.PEER_LOST);
				return () -> {
				};
			}
			this.exchanges.add(exchange);
			SimulatedTarget.this.system.time().after(2, () -> receive(exchange));
			return exchange::cancel;
		}

		@Override
		public void whenClosed(Runnable action) {
		}

		@Override
		public void send(Message notice) {
		}

	}

}
