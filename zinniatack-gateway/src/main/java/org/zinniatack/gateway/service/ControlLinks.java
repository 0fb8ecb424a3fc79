package org.zinniatack.gateway.service;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.process.ReconnectingLink;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerNetwork;

/**
 * Connections to all known control processes. Their addresses come from the seeds in the
 * settings and from the feeds that control processes send.
 */
final class ControlLinks implements ControlCalls {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/**
	 * Time for an election and a commit; a process that takes longer counts as
	 * unreachable.
	 */
	private static final long CALL_TIMEOUT_MS = 1_500;

	private final PeerNetwork network;

	private final Consumer<Peer> onConnected;

	private final Map<String, ReconnectingLink> linksByAddress = new ConcurrentHashMap<>();

	private volatile String lastRepliedAddress = "";

	/** The control process that replied to the last call of one process. */
	private volatile String preferredAddress = "";

	ControlLinks(PeerNetwork network, Consumer<Peer> onConnected) {
		this.network = network;
		this.onConnected = onConnected;
	}

	/** Connects to those addresses that are not known yet. */
	void addAddresses(Collection<String> addresses) {
		addresses.forEach((address) -> this.linksByAddress.computeIfAbsent(address, (absent) -> {
			ReconnectingLink link = new ReconnectingLink(this.network, address, this.onConnected);
			link.open();
			return link;
		}));
	}

	int connectedCount() {
		return (int) this.linksByAddress.values().stream().filter((link) -> link.peer().isPresent()).count();
	}

	/**
	 * Calls one control process after the other until one replies, starting with the one
	 * that replied last.
	 * @return the reply; it fails with a code whose outcome is NOT_RUN only if no process
	 * can have carried out the message
	 */
	@Override
	public CompletableFuture<Message> call(Message message, long extraTimeoutMs) {
		List<ReconnectingLink> candidates = new ArrayList<>(this.linksByAddress.values());
		candidates.removeIf((link) -> link.peer().isEmpty());
		candidates.sort((one, other) -> Boolean.compare(other.address().equals(this.lastRepliedAddress),
				one.address().equals(this.lastRepliedAddress)));
		return callNext(message, CALL_TIMEOUT_MS + extraTimeoutMs, candidates, 0,
				ServiceException.retryable(ResultCode.NOT_LEADER, "no control process is connected", CALL_TIMEOUT_MS));
	}

	/**
	 * Calls one control process: that which replied last to such a call, else any. For
	 * calls whose reply is of no use after the time.
	 * @return the reply
	 */
	CompletableFuture<Message> callOne(Message message, long timeoutMs) {
		List<ReconnectingLink> candidates = new ArrayList<>(this.linksByAddress.values());
		candidates.removeIf((link) -> link.peer().isEmpty());
		Collections.shuffle(candidates);
		candidates.sort((one, other) -> Boolean.compare(other.address().equals(this.preferredAddress),
				one.address().equals(this.preferredAddress)));
		for (ReconnectingLink link : candidates) {
			Peer peer = link.peer().orElse(null);
			if (peer != null) {
				return peer.call(message, timeoutMs)
					.whenComplete((reply, failure) -> this.preferredAddress = (failure != null) ? "" : link.address());
			}
		}
		return CompletableFuture.failedFuture(
				ServiceException.retryable(ResultCode.NOT_LEADER, "no control process is connected", timeoutMs));
	}

	@Override
	public List<CompletableFuture<Message>> callAll(Message message, long timeoutMs) {
		return this.linksByAddress.values()
			.stream()
			.flatMap((link) -> link.peer().stream())
			.map((peer) -> peer.call(message, timeoutMs))
			.toList();
	}

	@Override
	public List<Peer> select(String key, int count) {
		Map<String, Peer> connected = new HashMap<>();
		this.linksByAddress.forEach((address, link) -> link.peer().ifPresent((peer) -> connected.put(address, peer)));
		return Hashing.rendezvous(key, connected.keySet(), count).stream().map(connected::get).toList();
	}

	private CompletableFuture<Message> callNext(Message message, long timeoutMs, List<ReconnectingLink> candidates,
			int position, ServiceException previousFailure) {
		if (position >= candidates.size()) {
			return CompletableFuture.failedFuture(previousFailure);
		}
		ReconnectingLink link = candidates.get(position);
		Peer peer = link.peer().orElse(null);
		if (peer == null) {
			return callNext(message, timeoutMs, candidates, position + 1, previousFailure);
		}
		return peer.call(message, timeoutMs).handle((reply, failure) -> {
			if (failure == null) {
				this.lastRepliedAddress = link.address();
				return CompletableFuture.completedFuture(reply);
			}
			ServiceException currentFailure = asServiceException(failure);
			LOGGER.atInfo()
				.log("event=control_call_failed control=%s message=%s code=%d detail=\"%s\"", link.address(),
						message.getClass().getSimpleName(), currentFailure.code().number(),
						currentFailure.getMessage());
			ServiceException reportedFailure = (previousFailure.code().outcome() == Outcome.UNKNOWN) ? previousFailure
					: currentFailure;
			return callNext(message, timeoutMs, candidates, position + 1, reportedFailure);
		}).thenCompose((next) -> next);
	}

	private static ServiceException asServiceException(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		if (failure instanceof ServiceException known) {
			return known;
		}
		return (cause instanceof ServiceException known) ? known
				: ServiceException.of(ResultCode.INTERNAL, String.valueOf(cause));
	}

	void close() {
		this.linksByAddress.values().forEach(ReconnectingLink::close);
	}

}
