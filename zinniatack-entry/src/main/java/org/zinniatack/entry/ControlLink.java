package org.zinniatack.entry;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.zinniatack.core.result.ResultCode;
import org.zinniatack.core.result.ServiceException;
import org.zinniatack.core.routing.Hashing;
import org.zinniatack.core.state.Command;
import org.zinniatack.core.state.Reply;
import org.zinniatack.process.ReconnectingLink;
import org.zinniatack.wire.Message;
import org.zinniatack.wire.Peer;
import org.zinniatack.wire.PeerNetwork;

/**
 * The connections of an entry to the control processes. Each entry orders the processes
 * by rendezvous hashing, so that entries spread over them. A call goes to the first
 * process with an open connection and is retried on the next ones.
 */
final class ControlLink implements Proposer {

	private static final long CALL_TIMEOUT_MS = 2_000;

	private static final long RETRY_DELAY_MS = 150;

	private static final int MAXIMUM_ATTEMPTS = 20;

	private static final Set<ResultCode> TRANSIENT_CODES = Set.of(ResultCode.NOT_LEADER, ResultCode.PEER_LOST,
			ResultCode.CALL_TIMED_OUT, ResultCode.CHANGE_UNDECIDED, ResultCode.NOT_ACCEPTED);

	private final PeerNetwork network;

	private final List<ReconnectingLink> links;

	ControlLink(PeerNetwork network, String entryName, List<String> addresses) {
		this.network = network;
		this.links = Hashing.rendezvous(entryName, addresses, addresses.size())
			.stream()
			.map((address) -> new ReconnectingLink(network, address, (peer) -> {
			}))
			.toList();
	}

	void open() {
		this.links.forEach(ReconnectingLink::open);
	}

	void close() {
		this.links.forEach(ReconnectingLink::close);
	}

	/** Returns the first process with an open connection, which feeds this entry. */
	Optional<Peer> primaryPeer() {
		return peer(0);
	}

	private Optional<Peer> peer(int offset) {
		List<Peer> open = this.links.stream().flatMap((link) -> link.peer().stream()).toList();
		return open.isEmpty() ? Optional.empty() : Optional.of(open.get(offset % open.size()));
	}

	@Override
	public CompletableFuture<Reply> propose(Command command) {
		return call(new Message.Propose(command, false)).thenApply((answer) -> ((Message.Proposed) answer).reply());
	}

	/** Sends a request and retries it on transient failures, such as a missing leader. */
	CompletableFuture<Message> call(Message request) {
		CompletableFuture<Message> result = new CompletableFuture<>();
		attempt(request, 0, result);
		return result;
	}

	private void attempt(Message request, int number, CompletableFuture<Message> result) {
		CompletableFuture<Message> call = peer(number).map((peer) -> peer.call(request, CALL_TIMEOUT_MS))
			.orElseGet(() -> CompletableFuture
				.failedFuture(ServiceException.of(ResultCode.PEER_LOST, "no connection to a control process is open")));
		call.whenComplete((answer, failure) -> {
			if (failure == null) {
				result.complete(answer);
			}
			else if (number + 1 < MAXIMUM_ATTEMPTS && isTransient(failure)) {
				this.network.schedule(() -> attempt(request, number + 1, result), RETRY_DELAY_MS);
			}
			else {
				result.completeExceptionally(unwrap(failure));
			}
		});
	}

	private static boolean isTransient(Throwable failure) {
		return unwrap(failure) instanceof ServiceException known && TRANSIENT_CODES.contains(known.code());
	}

	static Throwable unwrap(Throwable failure) {
		return (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause() : failure;
	}

}
