package org.zinniatack.direct.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;

import org.zinniatack.core.result.Outcome;
import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.process.Link;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerNetwork;

/**
 * Connections to every control process that is known, found from seeds and then from what
 * control itself says.
 */
final class ControlLinks {

	private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

	/** An election and a commit; a control process that takes longer is cut off. */
	private static final long CALL_TIMEOUT_MS = 1_500;

	private final PeerNetwork network;

	private final Consumer<Peer> opened;

	private final Map<String, Link> linksByAddress = new ConcurrentHashMap<>();

	private volatile String lastAnswering = "";

	ControlLinks(PeerNetwork network, Consumer<Peer> opened) {
		this.network = network;
		this.opened = opened;
	}

	/** Connects to addresses that are not known yet. */
	void addAddresses(Collection<String> addresses) {
		addresses.forEach((address) -> this.linksByAddress.computeIfAbsent(address, (absent) -> {
			Link link = new Link(this.network, address, this.opened);
			link.open();
			return link;
		}));
	}

	int openCount() {
		return (int) this.linksByAddress.values().stream().filter((link) -> link.peer().isPresent()).count();
	}

	/**
	 * Calls one control process after the other until one answers.
	 * @return the answer; it fails with a code whose outcome is NOT_RUN only if no
	 * process can have carried the message out
	 */
	CompletableFuture<Message> call(Message message, long extraTimeoutMs) {
		List<Link> candidates = new ArrayList<>(this.linksByAddress.values());
		candidates.removeIf((link) -> link.peer().isEmpty());
		candidates.sort((one, other) -> Boolean.compare(other.address().equals(this.lastAnswering),
				one.address().equals(this.lastAnswering)));
		return callNext(message, CALL_TIMEOUT_MS + extraTimeoutMs, candidates, 0,
				ServiceException.retryable(ResultCode.NOT_LEADER, "no control process is connected", CALL_TIMEOUT_MS));
	}

	private CompletableFuture<Message> callNext(Message message, long timeoutMs, List<Link> candidates, int position,
			ServiceException before) {
		if (position >= candidates.size()) {
			return CompletableFuture.failedFuture(before);
		}
		Link link = candidates.get(position);
		Peer peer = link.peer().orElse(null);
		if (peer == null) {
			return callNext(message, timeoutMs, candidates, position + 1, before);
		}
		return peer.call(message, timeoutMs).handle((answer, failure) -> {
			if (failure == null) {
				this.lastAnswering = link.address();
				return CompletableFuture.completedFuture(answer);
			}
			ServiceException now = asServiceException(failure);
			LOGGER.atInfo()
				.log("event=control_call_failed control=%s message=%s code=%d detail=\"%s\"", link.address(),
						message.getClass().getSimpleName(), now.code().number(), now.getMessage());
			ServiceException worse = (before.code().outcome() == Outcome.UNKNOWN) ? before : now;
			return callNext(message, timeoutMs, candidates, position + 1, worse);
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
		this.linksByAddress.values().forEach(Link::close);
	}

}
