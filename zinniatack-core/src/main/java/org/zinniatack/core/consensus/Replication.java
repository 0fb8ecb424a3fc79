package org.zinniatack.core.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * A leader's replication of its log: tracks the progress of each follower and decides
 * what to send next.
 */
final class Replication {

	private static final long MAX_MESSAGE_BYTES = RaftReplica.MAX_ENTRY_BYTES;

	private final ReplicaSettings settings;

	private final MemoryLog log;

	private final long term;

	private final long noopIndex;

	private final Map<String, Progress> followers = new TreeMap<>();

	Replication(ReplicaSettings settings, MemoryLog log, long term, long noopIndex) {
		this.settings = settings;
		this.log = log;
		this.term = term;
		this.noopIndex = noopIndex;
	}

	/** Returns a replication without followers, for a replica that does not lead. */
	static Replication none() {
		return new Replication(ReplicaSettings.defaults(""), new MemoryLog(Snapshot.empty(), List.of()), 0,
				Long.MAX_VALUE);
	}

	/** Returns whether the first entry of the leader's term, a no-op, is committed. */
	boolean isNoopCommitted(long commitIndex) {
		return commitIndex >= this.noopIndex;
	}

	/** Returns the highest index that a majority of the voters has synced to disk. */
	long majorityIndex(Membership membership, long ownIndex) {
		return membership.voters()
			.stream()
			.map((id) -> id.equals(this.settings.id()) ? ownIndex : matchIndex(id))
			.sorted(Comparator.reverseOrder())
			.skip(membership.quorum() - 1L)
			.findFirst()
			.orElse(0L);
	}

	long matchIndex(String id) {
		Progress progress = this.followers.get(id);
		return (progress != null) ? progress.matchIndex() : 0;
	}

	/**
	 * Returns the follower with a vote that has the highest match index, of several a
	 * preferred one. One that is behind might not be elected.
	 */
	Optional<String> mostAdvanced(Membership membership, Predicate<String> isPreferred) {
		return membership.voters()
			.stream()
			.filter(this.followers::containsKey)
			.max(Comparator.comparingLong(this::matchIndex).thenComparing(isPreferred::test));
	}

	/** Records a follower's answer and returns whether to send to it at once. */
	boolean onResponse(ConsensusMessage.AppendResponse response, long nowMs) {
		Progress progress = this.followers.get(response.from());
		if (progress == null) {
			return false;
		}
		progress.acknowledge(response.sentAtMs(), nowMs);
		if (response.success()) {
			progress.matched(Math.min(response.matchIndex(), this.log.lastIndex()));
			return true;
		}
		return progress.rejected(response.matchIndex(), response.rejectedIndex());
	}

	/**
	 * Records a follower's answer to a part and returns whether to send to it at once.
	 */
	boolean onResponse(ConsensusMessage.SnapshotPartResponse response, long nowMs) {
		Progress progress = this.followers.get(response.from());
		return progress != null && progress.acknowledgePart(response, nowMs);
	}

	/** Returns the sending time of the newest message that a quorum has acknowledged. */
	long quorumContactMs(Membership membership, long nowMs) {
		return membership.voters()
			.stream()
			.map((id) -> id.equals(this.settings.id()) ? nowMs : contactMs(id))
			.sorted(Comparator.reverseOrder())
			.skip(membership.quorum() - 1L)
			.findFirst()
			.orElse(Progress.NEVER_MS);
	}

	long contactMs(String id) {
		Progress progress = this.followers.get(id);
		return (progress != null) ? progress.acknowledgedSentAtMs() : Progress.NEVER_MS;
	}

	void sendAll(Membership membership, long commitIndex, boolean heartbeat, long nowMs,
			List<ConsensusMessage> messages) {
		for (String id : membership.all()) {
			if (!id.equals(this.settings.id())) {
				sendTo(id, commitIndex, heartbeat, nowMs, messages);
			}
		}
	}

	void sendTo(String id, long commitIndex, boolean heartbeat, long nowMs, List<ConsensusMessage> messages) {
		Progress progress = this.followers.get(id);
		if (progress == null) {
			return;
		}
		if (progress.nextIndex() < this.log.firstIndex()) {
			sendSnapshot(id, progress, heartbeat, nowMs, messages);
		}
		else if (!progress.isProbing()) {
			List<LogEntry> entries = nextEntries(progress);
			if (!entries.isEmpty() || heartbeat) {
				sendAppend(id, progress, entries, commitIndex, nowMs, messages);
				progress.sent(entries);
			}
		}
		else if (progress.startProbe(nowMs, this.settings.heartbeatIntervalMs())) {
			sendAppend(id, progress, List.of(), commitIndex, nowMs, messages);
		}
	}

	/**
	 * Returns the next entries, or none while too many bytes are unacknowledged, so that
	 * an unreachable follower accumulates no messages.
	 */
	private List<LogEntry> nextEntries(Progress progress) {
		return progress.maySendEntries()
				? this.log.slice(progress.nextIndex(), this.settings.maximumBatchEntries(), MAX_MESSAGE_BYTES)
				: List.of();
	}

	private void sendSnapshot(String id, Progress progress, boolean heartbeat, long nowMs,
			List<ConsensusMessage> messages) {
		Snapshot snapshot = this.log.snapshot();
		SnapshotTransfer transfer = progress.transferOf(snapshot, nowMs);
		transfer.restartIfStalled(nowMs, 2 * this.settings.electionTimeoutMs());
		int length = transfer.nextLength();
		if (length == 0 && heartbeat) {
			messages.add(part(id, transfer.sentBytes(), 0, nowMs));
		}
		while (length > 0) {
			messages.add(part(id, transfer.sentBytes(), length, nowMs));
			transfer.sent(length);
			length = transfer.nextLength();
		}
	}

	private ConsensusMessage part(String id, long offset, int length, long nowMs) {
		return new ConsensusMessage.SnapshotPart(this.settings.id(), id, this.term, this.log.snapshot(), offset, length,
				new byte[0], nowMs);
	}

	private void sendAppend(String id, Progress progress, List<LogEntry> entries, long commitIndex, long nowMs,
			List<ConsensusMessage> messages) {
		long previousIndex = progress.nextIndex() - 1;
		messages.add(new ConsensusMessage.AppendRequest(this.settings.id(), id, this.term, previousIndex,
				this.log.termAt(previousIndex), entries, commitIndex, nowMs));
	}

	/** Tracks exactly the given members; a new one has never been in contact. */
	void track(Membership membership, long lastIndex) {
		this.followers.keySet().retainAll(membership.all());
		for (String id : membership.all()) {
			if (!id.equals(this.settings.id())) {
				this.followers.computeIfAbsent(id,
						(absent) -> new Progress(lastIndex + 1, new SendWindow(this.settings.leaseDurationMs() / 4)));
			}
		}
	}

}
